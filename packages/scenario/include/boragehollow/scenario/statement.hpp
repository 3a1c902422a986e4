#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Parsed statements of the scenario language, which docs/scenarios.md describes.
namespace boragehollow::scenario {

using std::chrono::milliseconds;

/// Names of daemons, failure domains or targets, `platform`, `all` (every daemon) or `any` (one running
/// daemon, chosen by the seed).
using name_list = std::vector<std::string>;

/// Declares the mesh: its failure domains and the number of daemons in each.
struct mesh_statement {
    std::string name;
    name_list domains;
    std::size_t daemons_per_domain = 0;
};

/// Adds an entry to the settings file of every daemon. The value has TOML syntax.
struct setting_statement {
    std::string key;
    std::string value;
};

struct start_statement {
    name_list names;
    bool wait_until_ready = true;
};

enum class signal_kind { stop, kill, pause, resume };

struct signal_statement {
    signal_kind kind = signal_kind::stop;
    name_list names;
};

/// Blocks the links between two daemons or failure domains, or between one of them and the platform.
struct cut_statement {
    std::string first;
    std::string second;
};

/// Restores all links that are cut.
struct heal_statement {};

/// Sets a fault mode of the platform stand-in, or clears all faults with the mode `restore`.
struct platform_statement {
    std::string mode;
    std::optional<milliseconds> delay;
};

struct target_start_statement {
    std::string name;
    std::string daemon;
    std::string service;
    std::uint32_t slots = 6;
    std::map<std::string, std::string> labels;
};

/// Sets a fault mode of a target stand-in, or clears all faults with the mode `restore`.
struct target_fault_statement {
    std::string name;
    std::string mode;
    std::optional<milliseconds> delay;
};

enum class change_result { accepted, rejected, any };

/// Posts a change with one put operation for each resource of the document.
struct apply_statement {
    std::string json; ///< Empty if the document is read from a file.
    std::string file;
    std::string via;
    change_result expected = change_result::accepted;
};

/// Posts a change that deletes one resource.
struct delete_statement {
    std::string kind;
    std::string name;
    std::string via;
    change_result expected = change_result::accepted;
};

/// Parameters of one request.
struct call_plan {
    std::string method;
    std::string path;
    std::string via = "any";
    std::string host;
    std::size_t body_size = 0;
    milliseconds body_over{0};   ///< Duration over which sending the body is spread.
    milliseconds hold{0};        ///< Service time that is requested from the target.
    std::size_t answer_size = 0; ///< Size of the response body that is requested from the target.
    std::string idempotency_key;
    std::string caller;
    milliseconds patience{15'000}; ///< Time limit for reading the response.
};

/// Expected result of a call; members without a value match any result.
struct call_expectation {
    std::optional<int> status;
    std::string outcome; ///< `answered`, `not_run`, `unknown`; empty: any.
    std::string target;
};

struct call_statement {
    call_plan plan;
    call_expectation expected;
    std::string background_name; ///< Empty if the runner waits for the result.
};

struct weighted_call {
    call_plan plan;
    std::uint32_t weight = 1;
};

/// Starts a background load: calls at a fixed rate, each chosen from a weighted mix.
struct load_statement {
    std::string name;
    std::uint32_t per_second = 0;
    milliseconds duration{0};
    name_list via;
    std::vector<weighted_call> mix;
};

/// Every named daemon has applied the latest accepted change.
struct in_force_expectation {
    name_list names;
};

/// Compares a daemon's version with a number, or with the latest accepted change.
struct version_expectation {
    std::string name;
    bool at_least = true;                ///< False if the version must be lower.
    std::optional<std::uint64_t> number; ///< Empty: the version of the latest accepted change.
};

/// The named daemons have the same version and configuration digest.
struct same_digest_expectation {
    name_list names;
};

/// Every named daemon counts this many live members.
struct members_expectation {
    std::size_t alive = 0;
    name_list names;
};

struct ready_expectation {
    bool ready = true;
    name_list names;
};

struct answered_expectation {
    call_plan plan;
    call_expectation expected;
};

/// A call that runs in the background has ended with the expected result.
struct background_expectation {
    std::string name;
    call_expectation expected;
};

/// A background load has ended and at least this share of its calls succeeded.
struct load_expectation {
    std::string name;
    std::uint32_t min_percent = 0;
};

struct exited_expectation {
    name_list names;
};

/// No request id occurs more than once in the ledgers of all targets, which record every request that a
/// target starts.
struct ledger_expectation {};

/// The target starts no request. Valid only with `for`.
struct quiet_expectation {
    std::string target;
};

/// Every named daemon has recorded the event in its timeline.
struct event_expectation {
    std::uint16_t number = 0;
    name_list names;
};

using expectation =
    std::variant<in_force_expectation, version_expectation, same_digest_expectation, members_expectation,
                 ready_expectation, answered_expectation, background_expectation, load_expectation,
                 exited_expectation, ledger_expectation, quiet_expectation, event_expectation>;

struct expect_statement {
    expectation what;
    milliseconds duration{0};
    bool throughout = false; ///< True if it must hold for the whole duration instead of once within it.
};

/// Waits for a random duration between the two bounds.
struct sleep_statement {
    milliseconds min_duration{0};
    milliseconds max_duration{0};
};

/// Checks all observations so far against the guarantees of docs/design.md.
struct check_statement {};

struct statement;

/// Runs `count` of the choices, selected by the seed.
struct random_statement {
    std::size_t count = 0;
    std::vector<statement> choices;
};

using statement_body =
    std::variant<mesh_statement, setting_statement, start_statement, signal_statement, cut_statement,
                 heal_statement, platform_statement, target_start_statement, target_fault_statement,
                 apply_statement, delete_statement, call_statement, load_statement, expect_statement,
                 sleep_statement, check_statement, random_statement>;

struct statement {
    std::size_t line = 0;
    std::string text; ///< Source text, for messages.
    statement_body body;
};

} // namespace boragehollow::scenario
