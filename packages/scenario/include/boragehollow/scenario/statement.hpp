#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Statements of the scenario language, as the parser gives them to the runner. docs/scenarios.md describes
/// the language.
namespace boragehollow::scenario {

using std::chrono::milliseconds;

/// Names of daemons, failure domains or targets, `platform`, `all` (every daemon) or `any` (one running
/// daemon, chosen by the seed).
using name_list = std::vector<std::string>;

struct mesh_statement {
    std::string name;
    name_list domains;
    std::size_t daemons_per_domain = 0;
};

/// Entry that is added to the settings of every daemon; the value is written as in TOML.
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

struct heal_statement {};

/// Fault of a stand-in: the mode is `restore` or a word that the stand-in knows.
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

struct target_fault_statement {
    std::string name;
    std::string mode;
    std::optional<milliseconds> delay;
};

enum class change_result { accepted, rejected, any };

/// Change with one put operation for each resource of the document.
struct apply_statement {
    std::string json; ///< Empty when the document stands in a file.
    std::string file;
    std::string via;
    change_result expected = change_result::accepted;
};

struct delete_statement {
    std::string kind;
    std::string name;
    std::string via;
    change_result expected = change_result::accepted;
};

/// One request of a caller.
struct call_plan {
    std::string method;
    std::string path;
    std::string via = "any";
    std::string host;
    std::size_t body_size = 0;
    milliseconds body_over{0};   ///< Time over which the body is sent.
    milliseconds hold{0};        ///< Time that the target is asked to work.
    std::size_t answer_size = 0; ///< Size of the body that the target is asked for.
    std::string idempotency_key;
    std::string caller;
    milliseconds patience{15'000}; ///< Longest wait of the caller.
};

struct call_expectation {
    std::optional<int> status;
    std::string outcome; ///< `answered`, `not_run`, `unknown`; empty: any.
    std::string target;
};

struct call_statement {
    call_plan plan;
    call_expectation expected;
    std::string background_name; ///< Empty: the runner waits for the answer.
};

struct weighted_call {
    call_plan plan;
    std::uint32_t weight = 1;
};

struct load_statement {
    std::string name;
    std::uint32_t per_second = 0;
    milliseconds duration{0};
    name_list via;
    std::vector<weighted_call> mix;
};

/// Every named daemon is at or past the latest accepted change.
struct in_force_expectation {
    name_list names;
};

/// Compares a daemon's version with a number, or with the latest accepted change.
struct version_expectation {
    std::string name;
    bool at_least = true;
    std::optional<std::uint64_t> number;
};

struct same_digest_expectation {
    name_list names;
};

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

struct background_expectation {
    std::string name;
    call_expectation expected;
};

struct load_expectation {
    std::string name;
    std::uint32_t least_percent = 0;
};

struct exited_expectation {
    name_list names;
};

/// No id stands twice in the ledgers of all targets.
struct ledger_expectation {};

/// The target begins no work; used with `for`.
struct quiet_expectation {
    std::string target;
};

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
    bool throughout = false; ///< Must hold for the whole duration, instead of once within it.
};

struct sleep_statement {
    milliseconds least{0};
    milliseconds most{0};
};

struct check_statement {};

struct statement;

/// Runs `count` of the choices, picked by the seed.
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
    std::string text; ///< As written, for messages.
    statement_body body;
};

} // namespace boragehollow::scenario
