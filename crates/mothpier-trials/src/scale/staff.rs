//! What staff ask of the fleet during a trial, through a session of their own.

use std::rc::Rc;
use std::time::Duration;

use mothpier_coordination::fleet::limits::Limits;
use mothpier_coordination::fleet::messages::{AuditNote, FleetCommand, FleetResponse, Subject, Then};
use mothpier_coordination_client::{Client, Session};
use mothpier_net::Tokio;

/// The session outlives the whole trial's worst pause.
const TTL: Duration = Duration::from_secs(60);
const OPEN_WITHIN: Duration = Duration::from_secs(20);

/// Staff with a session.
pub struct Staff {
    session: Rc<Session<Tokio>>,
}

fn note() -> AuditNote {
    AuditNote { by: "scale".into(), reason: "trial".into(), at_ms: 0 }
}

impl Staff {
    /// Opens the session.
    ///
    /// # Errors
    ///
    /// It can't be opened.
    pub async fn start(client: Rc<Client<Tokio>>) -> Result<Staff, String> {
        let name = format!("staff:{}", client.draw_name());
        Ok(Staff { session: Session::open(client, name, TTL, OPEN_WITHIN).await? })
    }

    async fn ask(&self, what: FleetCommand) -> Result<FleetResponse, String> {
        let answered = self.session.fleet(what).await.map_err(|lost| lost.to_string())?;
        answered.map_err(|refusal| refusal.to_string())
    }

    /// States limits.
    ///
    /// # Errors
    ///
    /// They are refused.
    pub async fn limits(&self, limits: Limits) -> Result<(), String> {
        self.ask(FleetCommand::Limits { limits, note: note() }).await.map(drop)
    }

    /// Asks for a drain that waits for its place; its number.
    ///
    /// # Errors
    ///
    /// It is refused.
    pub async fn drain(&self, subject: Subject) -> Result<u64, String> {
        let ask = FleetCommand::Drain {
            subject,
            note: note(),
            for_ms: None,
            then: Then::Stay,
            wait: true,
            force: false,
        };
        match self.ask(ask).await? {
            FleetResponse::Drain { number, .. } => Ok(number),
            FleetResponse::Done => Err("a drain without a number".into()),
        }
    }

    /// Asks for something's way back.
    ///
    /// # Errors
    ///
    /// It is refused.
    pub async fn back(&self, subject: Subject) -> Result<(), String> {
        self.ask(FleetCommand::Back { subject, note: note() }).await.map(drop)
    }
}
