//! Starts one stand-in on a loopback port.

use std::sync::Arc;

const USAGE: &str = "usage: standin store|agent|endpoint [--listen 127.0.0.1:PORT] \
[--name NAME] [--boot N] [--slots N]";

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let mut args = pico_args::Arguments::from_env();
    let kind = args.subcommand()?.unwrap_or_default();
    let listen: String = args
        .opt_value_from_str("--listen")?
        .unwrap_or_else(|| "127.0.0.1:0".to_owned());
    let name: String = args
        .opt_value_from_str("--name")?
        .unwrap_or_else(|| kind.clone());
    let boot: u64 = args.opt_value_from_str("--boot")?.unwrap_or(1);
    let slots: usize = args.opt_value_from_str("--slots")?.unwrap_or(8);
    match kind.as_str() {
        "store" => {
            let store = standin::store::bind(&listen).await?;
            println!("listening on {}", store.address());
            tokio::signal::ctrl_c().await?;
        }
        "agent" => {
            let record = Arc::new(standin::agent::RunHistory::default());
            let agent = standin::agent::bind(&listen, &name, boot, record).await?;
            println!("listening on {}", agent.address());
            tokio::signal::ctrl_c().await?;
        }
        "endpoint" => {
            let endpoint = standin::endpoint::bind(&listen, &name, slots, false).await?;
            println!("listening on {}", endpoint.address());
            tokio::signal::ctrl_c().await?;
        }
        _ => anyhow::bail!(USAGE),
    }
    Ok(())
}
