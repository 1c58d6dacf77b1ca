//! Snapshot tests of the texts that operators see.

use std::process::Command;

use jasminetack_domain::table;
use jasminetack_table::assignment;
use jasminetack_table::command_error;
use jasminetack_table::commands::explain;
use jasminetack_table::file;
use jasminetack_table::text;
use jasminetack_wire::operations;

const CHANGES_TOML: &str = r#"
[team.desk]
weight = 2
add-key = "open-sesame"

[adapter.offer-da]
team = "desk"
base-model = "base"
versions = [1, 2]
ceiling = 40
class = "urgent"

[service.slots]
repeatable = ["GET:/calendar", "*:/lookup"]
"#;

const CHANGES_CSV: &str = "\
kind,name,team,base-model,versions,weight,ceiling,class,add-key,repeatable
team,desk,,,,2,,,open-sesame,
adapter,offer-da,desk,base,\"1,2\",,40,urgent,,
service,slots,,,,,,,,\"GET:/calendar,*:/lookup\"
";

fn run(arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_jasminetack-table"))
        .args(arguments)
        .env_clear()
        .output()
        .expect("the program runs");
    let code = output.status.code().unwrap_or(-1);
    let stdout = String::from_utf8_lossy(&output.stdout);
    let stderr = String::from_utf8_lossy(&output.stderr);
    format!("exit code {code}\n{stdout}{stderr}")
}

fn edits(toml: &str) -> (table::Table, Vec<table::Edit>) {
    let table = table::Table::default();
    let mut edits = Vec::new();
    for change in file::parse_toml("changes.toml", toml).expect("valid changes") {
        let row = change.apply(None).expect("valid values");
        edits.push(table::Edit::new(&table, change.key, row));
    }
    (table, edits)
}

/// Guards against missing commands, examples or exit codes in the help.
#[test]
fn help() {
    insta::assert_snapshot!(run(&["--help"]));
}

/// Guards against reporting settings errors one at a time, and against printing a secret.
#[test]
fn settings_errors_and_check() {
    insta::assert_snapshot!("settings_errors", run(&["set", "team/desk", "weight=2"]));
    let mut arguments = vec!["--check", "--platform-url", "http://127.0.0.1:1"];
    arguments.extend(["--platform-key", "very-secret", "show"]);
    insta::assert_snapshot!("settings_check", run(&arguments));
}

/// Guards against differences missing from, or unreadable in, the text shown before confirmation.
#[test]
fn differences() {
    let (mut table, edits) = edits(CHANGES_TOML);
    let created: String = edits.iter().map(text::format_edit).collect();
    insta::assert_snapshot!("differences_created", created);
    for (edit, version) in edits.iter().zip(7..) {
        table.apply(edit.key().clone(), version, edit.new_row().cloned());
    }
    let mut changed = String::new();
    let texts = ["default=1", "ceiling=none", "share=4", "class=bulk", "base-model=other"];
    let key = table::RowKey::new(table::RowKind::Adapter, "offer-da");
    let mut row = table.row(&key).map(|(_, row)| table::Row::clone(row)).unwrap();
    for text in texts {
        assignment::Assignment::parse(text).unwrap().assign(&mut row).unwrap();
    }
    changed.push_str(&text::format_edit(&table::Edit::new(&table, key, Some(row))));
    let key = table::RowKey::new(table::RowKind::Service, "slots");
    changed.push_str(&text::format_edit(&table::Edit::new(&table, key, None)));
    insta::assert_snapshot!("differences_changed", changed);
}

/// Guards against different results from the same changes in CSV and in TOML.
#[test]
fn csv_and_toml_agree() {
    let toml = file::parse_toml("changes", CHANGES_TOML).unwrap();
    let csv = file::parse_csv("changes", CHANGES_CSV).unwrap();
    for change in &csv {
        let same = toml.iter().find(|other| other.key == change.key).unwrap();
        assert_eq!(change.apply(None).unwrap(), same.apply(None).unwrap());
    }
    assert_eq!(csv.len(), toml.len());
}

/// Guards against errors that name neither the location of the problem nor its remedy.
#[test]
fn file_and_check_errors() {
    let mut text = String::new();
    for toml in ["[team]\ndesk = 1", "[queue.desk]\nweight = 1", "team = "] {
        text.push_str(&format!("{}\n", file::parse_toml("changes.toml", toml).unwrap_err()));
    }
    for csv in ["kind,weight\nteam,2", "kind,name,delete\nteam,desk,perhaps"] {
        text.push_str(&format!("{}\n", file::parse_csv("changes.csv", csv).unwrap_err()));
    }
    let mut row = assignment::default_row(table::RowKind::Team);
    for assigned in ["weight", "weight=-1", "versions=1", "class=high", "add-key=", "remove-key=ab"]
    {
        let error = assignment::Assignment::parse(assigned)
            .and_then(|assignment| assignment.assign(&mut row))
            .unwrap_err();
        text.push_str(&format!("{error}\n"));
    }
    let (table, edits) = edits("[adapter.a]\nweight = 0\nversions = [0, 2, 1, 3]\n[team.'b c']");
    let problems = table::check_edits(&table, &edits).unwrap_err();
    text.push_str(&command_error::CommandError::Refused { problems }.to_string());
    insta::assert_snapshot!(text);
}

/// Guards against a wrong order of decisions from several daemons; ages are relative to each
/// response.
#[test]
fn explanation_is_in_chronological_order() {
    let response = |responded_ms, host: &str, decisions: &[(u64, &str)]| {
        let decisions = decisions.iter().map(|(age_ms, text)| operations::ExplainedDecision {
            age_ms: *age_ms,
            text: (*text).to_owned(),
        });
        let explanation = operations::Explanation {
            host: host.to_owned(),
            request_id: "e1-7".to_owned(),
            decisions: decisions.collect(),
        };
        explain::DaemonResponse { responded_ms, explanation }
    };
    let responses = [
        response(20, "e2", &[(90, "queue worker=w1 class=urgent"), (80, "load worker=w1")]),
        response(10, "e1", &[(85, "route worker=w1 cost_ms=41"), (10, "answered status=200")]),
        response(15, "e3", &[]),
    ];
    let unreachable = [explain::UnreachableDaemon {
        address: ([127, 0, 0, 1], 9).into(),
        message: "connection refused".to_owned(),
    }];
    let mut output = Vec::new();
    explain::show("e1-7", &responses, &unreachable, &mut output).unwrap();
    let missing = explain::show("e1-8", &responses[2..], &[], &mut output).unwrap_err();
    let text = String::from_utf8(output).unwrap();
    insta::assert_snapshot!(format!("{text}{missing}"));
}
