//! Builds the changes for commands that create or update one record.

use std::fmt;
use std::time::Duration;

use conf::{
    Access,
    AccountSpec,
    Change,
    ClassSpec,
    EndpointSpec,
    RouteSpec,
    Serves,
    ZoneSpec, //
};

use crate::flags::{
    AccountPut,
    ClassPut,
    EndpointPut,
    RouteModel,
    RouteService,
    ZonePut, //
};

/// An argument has an invalid value.
#[derive(Debug)]
pub(crate) struct ArgumentError {
    argument: &'static str,
    value: String,
    reason: String,
}

impl fmt::Display for ArgumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: invalid value {:?}: {}",
            self.argument, self.value, self.reason
        )
    }
}

/// Parses the text of an argument.
pub(crate) fn parse<T>(argument: &'static str, text: &str) -> Result<T, ArgumentError>
where
    T: std::str::FromStr<Err: fmt::Display>,
{
    text.parse().map_err(|error: T::Err| ArgumentError {
        argument,
        value: text.to_owned(),
        reason: error.to_string(),
    })
}

/// Converts a numeric argument.
fn convert<T>(argument: &'static str, n: u8) -> Result<T, ArgumentError>
where
    T: TryFrom<u8, Error: fmt::Display>,
{
    T::try_from(n).map_err(|error| ArgumentError {
        argument,
        value: n.to_string(),
        reason: error.to_string(),
    })
}

pub(crate) fn account(flags: &AccountPut) -> Result<Change, ArgumentError> {
    Ok(Change::PutAccount(AccountSpec {
        name: parse("name", &flags.name)?,
        weight: flags.weight.unwrap_or(1),
    }))
}

pub(crate) fn class(flags: &ClassPut) -> Result<Change, ArgumentError> {
    Ok(Change::PutClass(ClassSpec {
        name: parse("name", &flags.name)?,
        tier: convert("--tier", flags.tier)?,
        first_token: Duration::from_millis(flags.first_ms),
        token_gap: Duration::from_millis(flags.gap_ms),
        reserve: convert("--reserve", flags.reserve.unwrap_or(0))?,
    }))
}

pub(crate) fn zone(flags: &ZonePut) -> Result<Change, ArgumentError> {
    Ok(Change::PutZone(ZoneSpec {
        name: parse("name", &flags.name)?,
        region: parse("--region", &flags.region)?,
        open: true,
        capacity: flags.capacity.unwrap_or(u32::MAX),
    }))
}

pub(crate) fn model_route(flags: &RouteModel) -> Result<Change, ArgumentError> {
    Ok(Change::PutRoute(RouteSpec {
        name: parse("name", &flags.name)?,
        serves: Serves::Model(parse("--model", &flags.model)?),
        class: parse("--class", &flags.class)?,
        access: Access::Keyed,
    }))
}

pub(crate) fn service_route(flags: &RouteService) -> Result<Change, ArgumentError> {
    let methods = flags
        .idempotent
        .iter()
        .map(|method| parse("--idempotent", method));
    Ok(Change::PutRoute(RouteSpec {
        name: parse("name", &flags.name)?,
        serves: Serves::Service {
            prefix: parse("--prefix", &flags.prefix)?,
            idempotent: methods.collect::<Result<_, _>>()?,
        },
        class: parse("--class", &flags.class)?,
        access: Access::Keyed,
    }))
}

pub(crate) fn endpoint(flags: &EndpointPut) -> Result<Change, ArgumentError> {
    let routes = flags.route.iter().map(|route| parse("--route", route));
    Ok(Change::PutEndpoint(EndpointSpec {
        name: parse("name", &flags.name)?,
        zone: parse("--zone", &flags.zone)?,
        routes: routes.collect::<Result<_, _>>()?,
        agent: parse("--agent", &flags.agent)?,
        slots: flags.slots,
        draining: false,
    }))
}
