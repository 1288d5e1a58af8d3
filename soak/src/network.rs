//! Loopback addresses that belong to one soak alone.

use std::net::{Ipv4Addr, SocketAddr};

use anyhow::bail;
use tokio::net::TcpListener;

/// Port that marks a network as taken, on its first address.
const MARK: u16 = 20_000;
/// First port of each entry; all of them lie below the kernel's range for connections.
pub const PORT: u16 = 20_010;
/// Networks to try.
const TRIES: u32 = 64;
/// Last part of the first entry's address.
const FIRST: u8 = 10;

/// A network of loopback addresses, taken until it is dropped.
pub struct Network {
    middle: [u8; 2],
    _mark: TcpListener,
}

impl Network {
    /// Takes a network that no other soak has, beginning with the one that `wanted` names.
    ///
    /// # Errors
    /// All that were tried are taken.
    pub async fn take(wanted: u32) -> anyhow::Result<Self> {
        for number in 0..TRIES {
            let [.., high, low] = wanted.wrapping_add(number).to_be_bytes();
            // 127.0 is what everything else uses.
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

    /// The address of an entry's port; `offset` counts from its first port.
    #[must_use]
    pub fn entry(&self, number: u8, offset: u16) -> SocketAddr {
        address(self.middle, FIRST + number, PORT + offset)
    }
}

fn address([high, low]: [u8; 2], last: u8, port: u16) -> SocketAddr {
    (Ipv4Addr::new(127, high, low, last), port).into()
}
