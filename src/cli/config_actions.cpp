#include "cli/config_actions.hpp"

#include <parsleypitch/environment/environment_diff.hpp>
#include <parsleypitch/settings/settings.hpp>

#include <algorithm>
#include <ostream>

namespace parsleypitch::cli::detail {

using nlohmann::json;

constexpr milliseconds store_back_off_step{100};

json encode(const error& what) {
    return {{"code", what.code.value()}, {"reason", reason_name(what.code)}, {"message", to_string(what)}};
}

json encode(const config_entry& entry) {
    return {{"version", entry.version.value()},
            {"hash", entry.hash.str()},
            {"size", entry.size.value()},
            {"promoted_from", entry.promoted_from.str()}};
}

std::string describe(const config_entry& entry) {
    return "version " + std::to_string(entry.version.value()) + "  " + std::to_string(entry.size.value()) +
           " bytes  sha256 " + entry.hash.str() +
           (entry.promoted_from.empty() ? "" : "  promoted from " + entry.promoted_from.str());
}

void reporter::print(const std::string& text, const json& value) const {
    *m_hooks.out << (m_json ? value.dump(2) : text) << '\n';
}

void reporter::progress(const std::string& line) const {
    *m_hooks.err << line << '\n';
}

int reporter::failure(const error& what) const {
    if (m_json) {
        *m_hooks.out << json{{"error", encode(what)}}.dump(2) << '\n';
    } else {
        *m_hooks.err << to_string(what) << '\n';
    }
    return exit_failure;
}

config_store open_config(const config_command_hooks& hooks, const endpoint& store,
                         const environment_name& name) {
    const std::string operator_id = "operator-" + std::to_string(random_seed()) + "-";
    return {hooks.open_store(store), name,
            [operator_id, sequence = std::uint64_t(0)]() mutable {
                return write_id(operator_id + std::to_string(++sequence));
            },
            [sleep = hooks.sleep](unsigned attempt) { sleep(store_back_off_step * attempt); }};
}

/// Prints all mistakes found in a document.
/// @return `exit_success` if there are none, otherwise `exit_failure`
int report_mistakes(const reporter& report, const std::string& file,
                    const std::vector<document_mistake>& mistakes) {
    json list = json::array();
    std::string text;
    for (const document_mistake& mistake : mistakes) {
        json each = encode(mistake.what);
        each["line"] = mistake.line;
        each["column"] = mistake.column;
        list.push_back(std::move(each));
        text += file + ":" + std::to_string(mistake.line) + ":" + std::to_string(mistake.column) + ": " +
                to_string(mistake.what) + "\n";
    }
    text += mistakes.empty() ? file + ": valid" : std::to_string(mistakes.size()) + " mistakes";
    report.print(text, {{"file", file}, {"valid", mistakes.empty()}, {"mistakes", list}});
    return mistakes.empty() ? exit_success : exit_failure;
}

int check_config(const config_command_hooks& hooks, const config_options& options) {
    const reporter report(hooks, options.json);
    const auto text = read_file(options.files.front());
    if (!text) {
        return report.failure(text.error());
    }
    return report_mistakes(report, options.files.front(), parse_environment(text.value()).mistakes);
}

result<environment> parse_valid(const std::string& source, const std::string& text) {
    parsed_environment parsed = parse_environment(text);
    if (!parsed.mistakes.empty()) {
        return fail(errc::config_not_accepted,
                    source + ": " + std::to_string(parsed.mistakes.size()) + " mistakes, see config check");
    }
    return std::move(parsed.value);
}

result<environment> environment_in_file(const std::string& file) {
    const auto text = read_file(file);
    return text ? parse_valid(file, text.value()) : result<environment>(text.error());
}

/// Reads the latest accepted environment; returns an empty one if no version has been accepted.
result<environment> accepted_environment(const config_store& store) {
    const auto head = store.read_head();
    if (!head) {
        return head.error();
    }
    if (head.value().entries.empty()) {
        return environment{};
    }
    const auto bytes = store.read_version(head.value().entries.back());
    return bytes ? parse_valid(store.name().str(), bytes.value()) : result<environment>(bytes.error());
}

template <class Change, class Id>
json encode_changes(const std::vector<Change>& changes, Id id_of) {
    json list = json::array();
    for (const Change& change : changes) {
        list.push_back({{"kind", to_string(change.kind)}, {"id", id_of(change)}});
    }
    return list;
}

json encode(const environment_diff& diff) {
    const auto known_id = [](const auto& change) {
        return (change.kind == change_kind::removed ? change.before : change.after).id.str();
    };
    const auto own_id = [](const auto& change) { return change.id.str(); };
    json ranks = json::array();
    for (const rank_change& change : diff.ranks) {
        ranks.push_back(to_string(change.which));
    }
    json value = {{"ranks", ranks},
                  {"zones", encode_changes(diff.zones, known_id)},
                  {"models", encode_changes(diff.models, own_id)},
                  {"services", encode_changes(diff.plain_services, own_id)},
                  {"backend_servers", encode_changes(diff.backend_servers, known_id)},
                  {"accounts", encode_changes(diff.accounts, known_id)},
                  {"engines_affected", diff.engines_affected},
                  {"live_streams_affected", nullptr},
                  {"lines", parsleypitch::describe(diff)}};
    if (diff.live_streams_affected) {
        value["live_streams_affected"] = diff.live_streams_affected->value();
    }
    return value;
}

int diff_config(const config_command_hooks& hooks, const config_options& options) {
    const reporter report(hooks, options.json);
    const bool compares_with_store = !options.store.empty();
    const auto before = compares_with_store
                            ? accepted_environment(open_config(hooks, options.store, options.env))
                            : environment_in_file(options.files.front());
    if (!before) {
        return report.failure(before.error());
    }
    const auto after = environment_in_file(options.files.back());
    if (!after) {
        return report.failure(after.error());
    }
    const environment_diff diff = diff_environments(before.value(), after.value());
    std::string text;
    for (const std::string& line : parsleypitch::describe(diff)) {
        text += (text.empty() ? "" : "\n") + line;
    }
    report.print(text, encode(diff));
    return exit_success;
}

/// Waits until the version is in force on the hosts given with `--wait` and prints the result.
int report_accepted(const config_command_hooks& hooks, const config_options& options,
                    const environment_name& name, const config_entry& entry) {
    const reporter report(hooks, options.json);
    const rollout_state state = await_in_force(hooks, entry.version, options.wait,
                                               [&report](const std::string& line) { report.progress(line); });
    std::string text = name.str() + ": accepted " + describe(entry);
    json value = encode(entry);
    value["environment"] = name.str();
    value["in_force"] = json::array();
    value["not_in_force"] = json::object();
    for (const endpoint& host : state.in_force) {
        value["in_force"].push_back(host.str());
    }
    for (const auto& [host, reason] : state.waiting) {
        value["not_in_force"][host.str()] = reason;
        text += "\n" + to_string(fail(errc::config_not_in_force, host.str() + " after 4 s: " + reason));
    }
    if (!options.wait.empty() && state.waiting.empty()) {
        text += "\nin force on all " + std::to_string(state.in_force.size()) + " entry hosts";
    }
    report.print(text, value);
    return state.waiting.empty() ? exit_success : exit_failure;
}

int apply_config(const config_command_hooks& hooks, const config_options& options) {
    const reporter report(hooks, options.json);
    const auto bytes = read_file(options.files.front());
    if (!bytes) {
        return report.failure(bytes.error());
    }
    if (const auto parsed = parse_environment(bytes.value()); !parsed.mistakes.empty()) {
        return report_mistakes(report, options.files.front(), parsed.mistakes);
    }
    const auto entry = open_config(hooks, options.store, options.env).accept(bytes.value(), options.expect);
    return entry ? report_accepted(hooks, options, options.env, entry.value())
                 : report.failure(entry.error());
}

int promote_config(const config_command_hooks& hooks, const config_options& options) {
    const reporter report(hooks, options.json);
    const config_store source = open_config(hooks, options.store, options.from);
    const auto head = source.read_head();
    if (!head) {
        return report.failure(head.error());
    }
    if (head.value().entries.empty()) {
        return report.failure(fail(errc::config_unavailable, options.from.str() + ": nothing was accepted"));
    }
    const auto entry = open_config(hooks, options.store, options.to)
                           .promote(source, head.value().entries.back().hash, options.expect);
    return entry ? report_accepted(hooks, options, options.to, entry.value()) : report.failure(entry.error());
}

int show_history(const reporter& report, const environment_name& name, std::vector<config_entry> entries) {
    std::reverse(entries.begin(), entries.end());
    json list = json::array();
    std::string text = name.str() + ": " + std::to_string(entries.size()) + " versions, the newest first";
    for (const config_entry& entry : entries) {
        list.push_back(encode(entry));
        text += "\n" + describe(entry);
    }
    report.print(text, {{"environment", name.str()}, {"versions", list}});
    return exit_success;
}

int show_config(const config_command_hooks& hooks, const config_options& options) {
    const reporter report(hooks, options.json);
    const config_store store = open_config(hooks, options.store, options.env);
    const auto head = store.read_head();
    if (!head) {
        return report.failure(head.error());
    }
    const auto& entries = head.value().entries;
    if (options.history) {
        return show_history(report, options.env, entries);
    }
    if (entries.empty()) {
        return report.failure(fail(errc::config_unavailable, options.env.str() + ": nothing was accepted"));
    }
    const auto bytes = store.read_version(entries.back());
    if (!bytes) {
        return report.failure(bytes.error());
    }
    json value = encode(entries.back());
    value["environment"] = options.env.str();
    value["document"] = bytes.value();
    report.print("# " + options.env.str() + " " + describe(entries.back()) + "\n" + bytes.value(), value);
    return exit_success;
}

} // namespace parsleypitch::cli::detail
