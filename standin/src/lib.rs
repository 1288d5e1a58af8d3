//! Small stand-ins for the systems around ashtiller: the platform's key-value service with its
//! catalog of instances, workers, and endpoints.
//!
//! Each listens on a loopback port, keeps all state in memory, and has switches for the faults that
//! the real system shows. They are not published, and not meant to carry load outside tests.
//!
//! ```no_run
//! # async fn example() -> anyhow::Result<()> {
//! let store = standin::store::bind("127.0.0.1:0").await?;
//! println!("key-value service on {}", store.address());
//! store.faults().set_down(true);
//! # Ok(())
//! # }
//! ```

pub mod agent;
pub mod endpoint;
pub mod faults;
pub mod keys;
pub mod serve;
pub mod store;
