@0xc1d8a64f0b7e2935;

using Rust = import "rust.capnp";
$Rust.parentModule("schema");

# What entry instances ask of each other. The messages are the types of
# `workflow::message`, encoded with postcard, so that both ends share one copy.

interface Entry {
  ask @0 (request :Data) -> (reply :Data);
}
