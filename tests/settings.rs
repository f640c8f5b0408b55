//! Settings: every fault is told at once, with file, line, field and what is allowed.

mod common;

use std::fs;
use std::net;
use std::path;

use kumquatpulley::process::setup::settings;
use kumquatpulley::process::setup::settings_file;

const SOUND: &str = "\
router: r1
zone: nl-west-a
listen: 127.0.0.1:18080
peer_listen: 127.0.0.1:18081
admin_listen: 127.0.0.1:18082
platform: 127.0.0.1:18083
";

const SETTINGS_FAULT: i32 = 78;
const LISTEN_FAULT: i32 = 73;

struct SettingsFile {
    folder: tempfile::TempDir,
}

impl SettingsFile {
    fn new(text: &str) -> Self {
        let folder = tempfile::tempdir().expect("temporary folder");
        fs::write(folder.path().join("router.yaml"), text).expect("settings file");
        Self { folder }
    }

    fn faults(&self) -> Vec<String> {
        let file = self.folder.path().join("router.yaml");
        let faults = settings_file::load(&file).expect_err("settings are at fault");
        let name = |fault: &settings::SettingsFault| {
            assert_eq!(fault.file, file);
            format!("{}: {}: {}", fault.line, fault.field, fault.message)
        };
        faults.iter().map(name).collect()
    }

    fn settings(&self) -> settings::RouterSettings {
        settings_file::load(&self.folder.path().join("router.yaml")).expect("settings are sound")
    }

    fn daemon(&self, arguments: &[&str]) -> assert_cmd::Command {
        let mut command = assert_cmd::Command::cargo_bin("kumquatpulleyd").expect("daemon");
        command.current_dir(self.folder.path());
        command.args(["--config", "router.yaml"]).args(arguments);
        command
    }
}

fn replaced(line: &str, with: &str) -> SettingsFile {
    assert!(SOUND.contains(line));
    SettingsFile::new(&SOUND.replace(line, with))
}

#[test]
fn sound_settings_get_the_documented_defaults() {
    let settings = SettingsFile::new(SOUND).settings();
    assert_eq!(settings.address_keep_ms, 5_000);
    assert_eq!(settings.drain_timeout_ms, 30_000);
    assert_eq!(settings.max_body_bytes, 4_194_304);
    assert_eq!(settings.caller_memory_bytes, 67_108_864);
    assert_eq!(settings.max_connections, 10_000);
    assert_eq!(settings.idle_timeout_ms, 60_000);
    assert_eq!(settings.log, settings::LogSettings::default());
    assert!(settings.seeds.is_empty());
}

#[test]
fn the_example_settings_are_sound() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/router.yaml");
    let settings = settings_file::load(path::Path::new(file)).unwrap();
    assert_eq!(settings.router, "r1");
    assert_eq!(settings.seeds.len(), 3);
}

#[test]
fn every_field_is_taken_from_the_file() {
    let text = format!(
        "{SOUND}seeds: [127.0.0.1:18084]\nlog: {{format: json, level: debug}}\n\
         statsd: 127.0.0.1:8125\naddress_keep_ms: 200\ndrain_timeout_ms: 0\n\
         max_body_bytes: 2048\ncaller_memory_bytes: 4096\nmax_connections: 7\nidle_timeout_ms: 1500\n"
    );
    let settings = SettingsFile::new(&text).settings();
    assert_eq!(settings.seeds, ["127.0.0.1:18084"]);
    assert_eq!(settings.log.format, settings::LogFormat::Json);
    assert_eq!(settings.log.level, settings::LogLevel::Debug);
    let statsd: net::SocketAddr = "127.0.0.1:8125".parse().unwrap();
    assert_eq!(settings.statsd, Some(statsd));
    assert_eq!(settings.address_keep_ms, 200);
    assert_eq!(settings.drain_timeout_ms, 0);
    assert_eq!(settings.max_body_bytes, 2_048);
    assert_eq!(settings.caller_memory_bytes, 4_096);
    assert_eq!(settings.max_connections, 7);
    assert_eq!(settings.idle_timeout_ms, 1_500);
}

/// Guards against a fault of settings without `caller_memory_bytes` that were sound before it existed.
#[test]
fn default_memory_holds_two_of_the_largest_bodies() {
    let text = format!("{SOUND}max_body_bytes: 1073741824\n");
    let settings = SettingsFile::new(&text).settings();
    assert_eq!(settings.caller_memory_bytes, 2_147_483_648);
}

/// Guards against a fault that is told only after another one is mended.
#[test]
fn memory_and_other_faults_are_told_at_once() {
    let text =
        format!("{SOUND}max_body_bytes: 4096\ncaller_memory_bytes: 4097\nmax_connections: 0\n");
    assert_eq!(
        SettingsFile::new(&text).faults(),
        [
            "8: caller_memory_bytes: must be at least 8192 bytes, twice max_body_bytes; raise it",
            "9: max_connections: must be 1 to 1000000 connections",
        ]
    );
}

#[test]
fn several_faults_are_told_at_once() {
    let file = SettingsFile::new(
        "router: R1\nzone: nl-west-a\nlisten: localhost:80\npeer_listen: 127.0.0.1:1\n\
         admin_listen: 127.0.0.1:1\naddress_keep_ms: 5\nseeds:\n- 127.0.0.1:9\n- nowhere\n\
         log:\n  level: loud\n  colour: red\nlog_level: info\nzone: b\n",
    );
    expect_test::expect![[r"
        0: platform: is missing; add an IP address and port, such as 10.0.0.7:8080
        1: router: must be 1 to 63 lower-case letters, digits and hyphens, such as r1
        3: listen: must be an IP address and port, such as 10.0.0.7:8080
        5: admin_listen: is the same address as peer_listen; use another port
        6: address_keep_ms: must be 100 to 600000 milliseconds
        9: seeds[1]: must be an IP address and port, such as 10.0.0.7:8080
        11: log.level: must be error, warn, info or debug
        12: log.colour: is not a field; use one of format, level
        13: log_level: is not a field; use one of router, zone, listen, peer_listen, admin_listen, platform, seeds, log, statsd, address_keep_ms, drain_timeout_ms, max_body_bytes, caller_memory_bytes, max_connections, idle_timeout_ms
        14: zone: is given twice; keep one of the two lines"]]
    .assert_eq(&file.faults().join("\n"));
}

/// The one fault of sound settings in which `line` is replaced.
fn refuses(line: &str, with: &str, fault: &str) {
    assert_eq!(replaced(line, with).faults(), [fault]);
}

/// The one fault of sound settings with one more line.
fn refuses_added(line: &str, fault: &str) {
    assert_eq!(
        SettingsFile::new(&format!("{SOUND}{line}\n")).faults(),
        [fault]
    );
}

common::cases! {
    an_address_that_others_cannot_reach_is_refused: refuses(
        "listen: 127.0.0.1:18080",
        "listen: 0.0.0.0:18080",
        "3: listen: must be an address that others can reach; give the VM's own IP address",
    );
    a_port_that_others_cannot_know_is_refused: refuses(
        "127.0.0.1:18081",
        "127.0.0.1:0",
        "4: peer_listen: must have a port that others can know; use 1 to 65535",
    );
    a_name_is_not_taken_from_a_number: refuses(
        "zone: nl-west-a",
        "zone: 12",
        "2: zone: must be 1 to 63 lower-case letters, digits and hyphens, such as r1",
    );
    a_name_does_not_end_with_a_hyphen: refuses(
        "router: r1",
        "router: r1-",
        "1: router: must be 1 to 63 lower-case letters, digits and hyphens, such as r1",
    );
    an_address_of_the_platform_needs_a_port: refuses(
        "platform: 127.0.0.1:18083",
        "platform: 127.0.0.1",
        "6: platform: must be an IP address and port, such as 10.0.0.7:8080",
    );
    an_old_yaml_boolean_is_text_and_no_number: refuses_added(
        "max_connections: yes",
        "7: max_connections: must be 1 to 1000000 connections",
    );
    a_negative_time_is_refused: refuses_added(
        "drain_timeout_ms: -1",
        "7: drain_timeout_ms: must be 0 to 3600000 milliseconds",
    );
    a_body_limit_beyond_its_bounds_is_refused: refuses_added(
        "max_body_bytes: 1073741825",
        "7: max_body_bytes: must be 1024 to 1073741824 bytes",
    );
    memory_below_two_bodies_is_refused: refuses_added(
        "caller_memory_bytes: 8388607",
        "7: caller_memory_bytes: must be at least 8388608 bytes, twice max_body_bytes; raise it",
    );
    memory_beyond_its_bounds_is_refused: refuses_added(
        "caller_memory_bytes: 1099511627777",
        "7: caller_memory_bytes: must be 2048 to 1099511627776 bytes",
    );
    seeds_are_a_list: refuses_added(
        "seeds: 127.0.0.1:18084",
        "7: seeds: must be a list, each an IP address and port, such as 10.0.0.7:8080",
    );
    log_is_a_mapping: refuses_added(
        "log: json",
        "7: log: must be a mapping with the fields format and level",
    );
}

#[test]
fn an_empty_file_says_what_to_write() {
    let faults = SettingsFile::new("").faults();
    assert_eq!(faults.len(), 1);
    assert!(faults[0].ends_with("must hold fields; write one field a line, such as router: r1"));
}

#[test]
fn text_that_is_not_yaml_is_told_with_its_line() {
    let faults = SettingsFile::new("router: r1\nzone: [a\n").faults();
    assert_eq!(faults.len(), 1);
    assert!(faults[0].starts_with("2: "), "{faults:?}");
}

#[test]
fn a_missing_file_is_a_settings_fault() {
    let file = SettingsFile::new(SOUND);
    let mut command = assert_cmd::Command::cargo_bin("kumquatpulleyd").unwrap();
    let output = command
        .current_dir(file.folder.path())
        .args(["--config", "absent.yaml"])
        .assert()
        .code(SETTINGS_FAULT);
    let stderr = String::from_utf8(output.get_output().stderr.clone()).unwrap();
    assert!(stderr.starts_with("error: absent.yaml: cannot be read: "));
}

#[test]
fn check_accepts_sound_settings_without_listening() {
    let taken = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap().to_string();
    replaced("127.0.0.1:18080", &address)
        .daemon(&["--check"])
        .assert()
        .success()
        .stdout("router.yaml: settings are sound\n");
}

#[test]
fn check_names_file_line_and_field_of_a_fault() {
    replaced("listen: 127.0.0.1:18080", "listen: here")
        .daemon(&["--check"])
        .assert()
        .code(SETTINGS_FAULT)
        .stdout("")
        .stderr(
            "error: router.yaml:3: listen: must be an IP address and port, such as 10.0.0.7:8080\n",
        );
}

#[test]
fn a_port_in_use_ends_the_daemon_with_the_field_named() {
    let taken = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap().to_string();
    let output = replaced("127.0.0.1:18080", &address)
        .daemon(&[])
        .timeout(std::time::Duration::from_secs(10))
        .assert()
        .code(LISTEN_FAULT);
    let stderr = String::from_utf8(output.get_output().stderr.clone()).unwrap();
    let wanted = format!("listen: cannot listen on {address}: ");
    assert!(stderr.contains(&wanted), "{stderr}");
}

#[test]
fn the_daemon_without_settings_explains_its_usage() {
    assert_cmd::Command::cargo_bin("kumquatpulleyd")
        .unwrap()
        .assert()
        .code(2);
}
