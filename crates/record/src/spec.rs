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
    /// Parses the content of a record of this kind and schema version.
    ///
    /// Fails with the path of the first invalid field, or with `schema` if the kind has no
    /// such version.
    ///
    /// ```
    /// let value = serde_json::json!({ "quota": 4, "weight": 1 });
    /// assert!(record::Spec::parse(record::Kind::Team, 1, &value).is_ok());
    /// let error = record::Spec::parse(record::Kind::Team, 9, &value).unwrap_err();
    /// assert_eq!(error.field, "schema");
    /// ```
    pub fn parse(kind: Kind, schema: u32, value: &serde_json::Value) -> Result<Spec, FieldError> {
        match (kind, schema) {
            (Kind::Pool, 1) => parse_value(value).map(Spec::PoolV1),
            (Kind::Pool, 2) => parse_value(value).map(Spec::PoolV2),
            (Kind::Instance, 1) => parse_value(value).map(Spec::InstanceV1),
            (Kind::Instance, 2) => parse_value(value).map(Spec::InstanceV2),
            (Kind::Budget, 1) => parse_value(value).map(Spec::BudgetV1),
            (Kind::Plan, 1) => parse_value(value).map(Spec::PlanV1),
            (Kind::Team, 1) => parse_value(value).map(Spec::TeamV1),
            (Kind::Voter, 1) => parse_value(value).map(Spec::VoterV1),
            _ => Err(FieldError::new(
                "schema",
                format!("kind \"{kind}\" has no schema {schema}, newest is {}", newest(kind)),
            )),
        }
    }

    /// Returns the pool, independent of the schema version; `None` for other kinds.
    pub fn pool(&self) -> Option<pool::Pool> {
        match self {
            Spec::PoolV1(v1) => Some(v1.into()),
            Spec::PoolV2(v2) => Some(v2.into()),
            _ => None,
        }
    }

    /// Returns the instance in the newest schema; `None` for other kinds.
    pub fn instance(&self) -> Option<instance::Instance> {
        match self {
            Spec::InstanceV1(v1) => Some(v1.into()),
            Spec::InstanceV2(v2) => Some(v2.clone()),
            _ => None,
        }
    }

    /// Returns the errors of single values that their types do not rule out.
    pub fn field_errors(&self) -> Vec<FieldError> {
        match self {
            Spec::InstanceV1(v1) => instance_errors(&v1.into()),
            Spec::InstanceV2(v2) => instance_errors(v2),
            Spec::BudgetV1(v1) if v1.rack.is_some() && v1.data_centre.is_none() => {
                vec![FieldError::new("spec.data_centre", "is needed beside spec.rack")]
            }
            Spec::PlanV1(v1) => require_positive("spec.max_concurrent", v1.max_concurrent),
            Spec::TeamV1(v1) => require_positive("spec.weight", v1.weight),
            Spec::VoterV1(v1) if v1.parse_incarnation().is_none() => {
                vec![FieldError::new("spec.incarnation", "must be a hexadecimal number")]
            }
            _ => Vec::new(),
        }
    }
}

/// Returns the newest schema version of a kind.
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

/// Deserializes a record's content. An error has the path of the invalid field.
fn parse_value<T: DeserializeOwned>(value: &serde_json::Value) -> Result<T, FieldError> {
    serde_path_to_error::deserialize(value).map_err(|error| {
        let path = error.path().to_string();
        let field = if path == "." { "spec".to_string() } else { format!("spec.{path}") };
        FieldError::new(field, error.into_inner().to_string())
    })
}

fn instance_errors(spec: &instance::Instance) -> Vec<FieldError> {
    let mut field_errors = require_positive("spec.slots", spec.slots);
    field_errors.extend(require_positive("spec.connections", spec.connections));
    field_errors.extend(require_positive("spec.cores", spec.cores));
    field_errors
}

fn require_positive(field: &str, value: u32) -> Vec<FieldError> {
    if value == 0 { vec![FieldError::new(field, "must be at least 1")] } else { Vec::new() }
}
