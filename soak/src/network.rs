//! Loopback addresses that no other soak on the machine uses.

use std::net::{Ipv4Addr, SocketAddr};

use anyhow::bail;
use tokio::net::TcpListener;

/// Port bound on a network's first address to mark the network as taken.
const MARK: u16 = 20_000;
/// First port of each entry; all entry ports lie below the kernel's ephemeral port range.
pub const PORT: u16 = 20_010;
/// Number of networks to try before giving up.
const TRIES: u32 = 64;
/// Last octet of the first entry's address.
const FIRST: u8 = 10;

/// A /24 network of loopback addresses, reserved until it is dropped.
pub struct Network {
    middle: [u8; 2],
    _mark: TcpListener,
}

impl Network {
    /// Reserves the first free network, beginning with the one that `wanted` selects.
    ///
    /// # Errors
    /// Fails when all networks that were tried are taken.
    pub async fn take(wanted: u32) -> anyhow::Result<Self> {
        for number in 0..TRIES {
            let [.., high, low] = wanted.wrapping_add(number).to_be_bytes();
            // 127.0.x.x is left to all other programs.
            let middle = [high.max(1), low];
            let first = address(middle, 1, MARK);
            if let Ok(mark) = TcpListener::bind(first).await {
                return Ok(Self {
                    middle,
                    _mark: mark,
                });
            }
        }
        bail!("take a loopback network: {TRIES} are taken");
    }

    /// Returns the address of an entry's port; `offset` counts from its first port.
    #[must_use]
    pub fn entry(&self, number: u8, offset: u16) -> SocketAddr {
        address(self.middle, FIRST + number, PORT + offset)
    }
}

fn address([high, low]: [u8; 2], last: u8, port: u16) -> SocketAddr {
    (Ipv4Addr::new(127, high, low, last), port).into()
}
