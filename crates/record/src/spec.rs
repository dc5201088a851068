//! Typed content of a record, one variant for each kind and schema version.

use crate::{Kind, budget, document::FieldError, instance, plan, pool, team, voter};
use serde::de::DeserializeOwned;

/// Typed content of a record.
#[derive(Clone, Debug, PartialEq)]
pub enum Spec {
    /// Pool, schema 1.
    PoolV1(pool::V1),
    /// Pool, schema 2.
    PoolV2(pool::V2),
    /// Instance, schema 1.
    InstanceV1(instance::V1),
    /// Instance, schema 2.
    InstanceV2(instance::V2),
    /// Budget, schema 1.
    BudgetV1(budget::V1),
    /// Plan, schema 1.
    PlanV1(plan::V1),
    /// Team, schema 1.
    TeamV1(team::V1),
    /// Voter, schema 1.
    VoterV1(voter::V1),
}

impl Spec {
    /// Reads the content of a record of the given kind and schema version.
    ///
    /// Fails with the path of the first field that does not fit.
    ///
    /// ```
    /// let value = serde_json::json!({ "quota": 4, "weight": 1 });
    /// assert!(record::Spec::parse(record::Kind::Team, 1, &value).is_ok());
    /// let fault = record::Spec::parse(record::Kind::Team, 9, &value).unwrap_err();
    /// assert_eq!(fault.field, "schema");
    /// ```
    pub fn parse(kind: Kind, schema: u32, value: &serde_json::Value) -> Result<Spec, FieldError> {
        match (kind, schema) {
            (Kind::Pool, 1) => read(value).map(Spec::PoolV1),
            (Kind::Pool, 2) => read(value).map(Spec::PoolV2),
            (Kind::Instance, 1) => read(value).map(Spec::InstanceV1),
            (Kind::Instance, 2) => read(value).map(Spec::InstanceV2),
            (Kind::Budget, 1) => read(value).map(Spec::BudgetV1),
            (Kind::Plan, 1) => read(value).map(Spec::PlanV1),
            (Kind::Team, 1) => read(value).map(Spec::TeamV1),
            (Kind::Voter, 1) => read(value).map(Spec::VoterV1),
            _ => Err(FieldError::new(
                "schema",
                format!("kind \"{kind}\" has no schema {schema}, newest is {}", newest(kind)),
            )),
        }
    }

    /// The pool, in the terms of the newest schema.
    pub fn pool(&self) -> Option<pool::Pool> {
        match self {
            Spec::PoolV1(v1) => Some(v1.into()),
            Spec::PoolV2(v2) => Some(v2.into()),
            _ => None,
        }
    }

    /// The instance, in the terms of the newest schema.
    pub fn instance(&self) -> Option<instance::Instance> {
        match self {
            Spec::InstanceV1(v1) => Some(v1.into()),
            Spec::InstanceV2(v2) => Some(v2.clone()),
            _ => None,
        }
    }

    /// Faults of single values that the types alone do not exclude.
    pub fn field_errors(&self) -> Vec<FieldError> {
        match self {
            Spec::InstanceV1(v1) => instance_faults(&v1.into()),
            Spec::InstanceV2(v2) => instance_faults(v2),
            Spec::BudgetV1(v1) if v1.rack.is_some() && v1.data_centre.is_none() => {
                vec![FieldError::new("spec.data_centre", "is needed beside spec.rack")]
            }
            Spec::PlanV1(v1) => at_least_one("spec.max_concurrent", v1.max_concurrent),
            Spec::TeamV1(v1) => at_least_one("spec.weight", v1.weight),
            Spec::VoterV1(v1) if v1.parse_incarnation().is_none() => {
                vec![FieldError::new("spec.incarnation", "must be a hexadecimal number")]
            }
            _ => Vec::new(),
        }
    }
}

/// Newest schema version of a kind.
///
/// ```
/// assert_eq!(record::spec::newest(record::Kind::Pool), 2);
/// ```
pub fn newest(kind: Kind) -> u32 {
    match kind {
        Kind::Pool | Kind::Instance => 2,
        Kind::Budget | Kind::Plan | Kind::Team | Kind::Voter => 1,
    }
}

fn read<T: DeserializeOwned>(value: &serde_json::Value) -> Result<T, FieldError> {
    serde_path_to_error::deserialize(value).map_err(|error| {
        let path = error.path().to_string();
        let field = if path == "." { "spec".to_string() } else { format!("spec.{path}") };
        FieldError::new(field, error.into_inner().to_string())
    })
}

fn instance_faults(spec: &instance::Instance) -> Vec<FieldError> {
    let mut field_errors = at_least_one("spec.slots", spec.slots);
    field_errors.extend(at_least_one("spec.connections", spec.connections));
    field_errors.extend(at_least_one("spec.cores", spec.cores));
    field_errors
}

fn at_least_one(field: &str, value: u32) -> Vec<FieldError> {
    if value == 0 { vec![FieldError::new(field, "must be at least 1")] } else { Vec::new() }
}
