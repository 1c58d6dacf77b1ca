//! Field-by-field differences between two versions of a row.

use super::{AdapterRow, CallPattern, KeyHash, Limits, Row, ServiceRow, TeamRow};
use crate::name;
use crate::request;

/// Difference between the current row and its replacement.
#[derive(Clone, Debug, PartialEq)]
pub enum Difference {
    /// The row is created.
    Created,
    /// The row is deleted.
    Deleted,
    /// The weight changes.
    Weight(Change<u32>),
    /// The ceiling changes; `None` means no limit.
    Ceiling(Change<Option<u32>>),
    /// The share changes.
    Share(Change<u32>),
    /// The most urgent class changes.
    Class(Change<request::Class>),
    /// The team changes.
    Team(Change<name::TeamName>),
    /// The base model changes.
    BaseModel(Change<name::BaseModelName>),
    /// A version is added.
    VersionAdded(u32),
    /// A version is removed.
    VersionRemoved(u32),
    /// The default version, used by requests that name none, changes.
    DefaultVersion(Change<Option<u32>>),
    /// A bearer key is added.
    KeyAdded(KeyHash),
    /// A bearer key is removed.
    KeyRemoved(KeyHash),
    /// A pattern of retryable calls is added.
    CallAdded(CallPattern),
    /// A pattern of retryable calls is removed.
    CallRemoved(CallPattern),
}

/// Old and new value of a field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change<Value> {
    /// Current value; `None` if the row is new.
    pub old: Option<Value>,
    /// Value after the edit.
    pub new: Value,
}

impl Difference {
    /// Returns the differences between two rows, those of the limits last.
    #[must_use]
    pub fn between(old: Option<&Row>, new: Option<&Row>) -> Vec<Self> {
        let Some(new) = new else {
            return old.map(|_| Self::Deleted).into_iter().collect();
        };
        let mut differences = Vec::new();
        if old.is_none() {
            differences.push(Self::Created);
        }
        match (old, new) {
            (Some(Row::Adapter(old)), Row::Adapter(new)) => {
                push_adapter_differences(Some(old), new, &mut differences);
            }
            (_, Row::Adapter(new)) => push_adapter_differences(None, new, &mut differences),
            (Some(Row::Team(old)), Row::Team(new)) => {
                push_team_differences(Some(old), new, &mut differences);
            }
            (_, Row::Team(new)) => push_team_differences(None, new, &mut differences),
            (Some(Row::Service(old)), Row::Service(new)) => {
                push_service_differences(Some(old), new, &mut differences);
            }
            (_, Row::Service(new)) => push_service_differences(None, new, &mut differences),
        }
        push_limit_differences(old.map(Row::limits), new.limits(), &mut differences);
        differences
    }
}

impl<Value> Change<Value>
where
    Value: Clone + PartialEq,
{
    fn between(old: Option<&Value>, new: &Value) -> Option<Self> {
        if old == Some(new) {
            return None;
        }
        Some(Self { old: old.cloned(), new: new.clone() })
    }
}

fn push_adapter_differences(
    old: Option<&AdapterRow>,
    new: &AdapterRow,
    differences: &mut Vec<Difference>,
) {
    let team = Change::between(old.map(|row| &row.team), &new.team);
    differences.extend(team.map(Difference::Team));
    let base_model = Change::between(old.map(|row| &row.base_model), &new.base_model);
    differences.extend(base_model.map(Difference::BaseModel));
    let old_versions = old.map_or(&[][..], |row| &row.versions);
    let (added, removed) = changed_items(old_versions, &new.versions);
    differences.extend(added.map(|version| Difference::VersionAdded(*version)));
    differences.extend(removed.map(|version| Difference::VersionRemoved(*version)));
    let old_default = old.map(|row| row.versions.last().copied());
    let default = Change::between(old_default.as_ref(), &new.versions.last().copied());
    differences.extend(default.map(Difference::DefaultVersion));
}

fn push_team_differences(old: Option<&TeamRow>, new: &TeamRow, differences: &mut Vec<Difference>) {
    let old_hashes = old.map_or(&[][..], |row| &row.key_hashes);
    let (added, removed) = changed_items(old_hashes, &new.key_hashes);
    differences.extend(added.map(|hash| Difference::KeyAdded(*hash)));
    differences.extend(removed.map(|hash| Difference::KeyRemoved(*hash)));
}

fn push_service_differences(
    old: Option<&ServiceRow>,
    new: &ServiceRow,
    differences: &mut Vec<Difference>,
) {
    let old_patterns = old.map_or(&[][..], |row| &row.repeatable);
    let (added, removed) = changed_items(old_patterns, &new.repeatable);
    differences.extend(added.map(|pattern| Difference::CallAdded(pattern.clone())));
    differences.extend(removed.map(|pattern| Difference::CallRemoved(pattern.clone())));
}

fn push_limit_differences(old: Option<&Limits>, new: &Limits, differences: &mut Vec<Difference>) {
    let weight = Change::between(old.map(|limits| &limits.weight), &new.weight);
    differences.extend(weight.map(Difference::Weight));
    let ceiling = Change::between(old.map(|limits| &limits.ceiling), &new.ceiling);
    differences.extend(ceiling.map(Difference::Ceiling));
    let share = Change::between(old.map(|limits| &limits.share), &new.share);
    differences.extend(share.map(Difference::Share));
    let class = Change::between(old.map(|limits| &limits.class), &new.class);
    differences.extend(class.map(Difference::Class));
}

fn changed_items<'a, Item>(
    old: &'a [Item],
    new: &'a [Item],
) -> (impl Iterator<Item = &'a Item>, impl Iterator<Item = &'a Item>)
where
    Item: PartialEq,
{
    let added = new.iter().filter(|item| !old.contains(item));
    let removed = old.iter().filter(|item| !new.contains(item));
    (added, removed)
}
