#include <parsleypitch/configuration/configuration_check.hpp>
#include <parsleypitch/http/message.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace parsleypitch {

namespace detail {

using findings = std::vector<configuration_finding>;

std::string in_ms(duration d) {
    return std::to_string(std::chrono::duration_cast<milliseconds>(d).count()) + " ms";
}

std::string count_of(std::uint64_t count, const std::string& noun) {
    return std::to_string(count) + " " + noun + (count == 1 ? "" : "s");
}

std::string lower_case(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::uint64_t total_weight(const route& of) {
    std::uint64_t total = 0;
    for (const weighted_service& each : of.services) {
        total += each.weight;
    }
    return total;
}

/// Finds entries of a list that have the same name.
template <class Entry, class Name>
void find_duplicates(const std::vector<placed_entry<Entry>>& entries, const std::string& noun, Name name,
                     findings& found) {
    std::map<std::string, std::string> place_of;
    for (const placed_entry<Entry>& each : entries) {
        const auto [known, added] = place_of.try_emplace(name(each.entry), each.place);
        if (!added) {
            found.push_back({finding_kind::error, each.place,
                             "expected a name of its own: the " + noun + " " + known->first + " is also at " +
                                 known->second});
        }
    }
}

/// Finds routes whose host and path no request can have, or that another route shadows.
void find_unmatched(const configuration_description& configuration, findings& found) {
    std::map<std::pair<std::string, std::string>, const placed_entry<route>*> first;
    for (const auto& each : configuration.routes) {
        const auto report = [&found, &each](const std::string& text) {
            found.push_back({finding_kind::never_used, each.place, text});
        };
        const std::string& prefix = each.entry.path_prefix;
        if (!prefix.starts_with("/") || prefix.find_first_of("?#") != std::string::npos) {
            report("never matches: expected a path prefix that begins with / and has no query, got " +
                   prefix);
        }
        if (each.entry.host.find(':') != std::string::npos) {
            report("never matches: expected a host without a port, got " + each.entry.host);
        }
        const auto [known, added] = first.try_emplace({lower_case(each.entry.host), prefix}, &each);
        if (!added) {
            report("never matches: the route " + known->second->entry.id.str() + " at " +
                   known->second->place + " has the same host and path prefix");
        }
    }
}

/// Finds routes that lead to no service, and services to which no route leads.
void find_unconnected(const configuration_description& configuration, findings& found) {
    std::map<backend_service_id, const backend_service*> services;
    for (const auto& each : configuration.services) {
        services[each.entry.id] = &each.entry;
    }
    std::set<backend_service_id> reached;
    for (const auto& each : configuration.routes) {
        if (total_weight(each.entry) == 0) {
            found.push_back(
                {finding_kind::never_used, each.place, "leads to no service with a weight above 0"});
        }
        for (const weighted_service& to : each.entry.services) {
            reached.insert(to.service);
            const auto service = services.find(to.service);
            if (service == services.end()) {
                found.push_back({finding_kind::never_used, each.place,
                                 "leads to the service " + to.service.str() + ", which is not configured"});
            } else if (each.entry.kind == request_kind::stream && !service->second->engine) {
                found.push_back(
                    {finding_kind::never_used, each.place,
                     "leads streams to the service " + to.service.str() + ", which has no engine entry"});
            }
        }
    }
    if (!configuration.undecoded.empty()) {
        return; // a route that can't be decoded may lead to the service
    }
    for (const auto& each : configuration.services) {
        if (!reached.contains(each.entry.id)) {
            found.push_back({finding_kind::never_used, each.place,
                             "no route leads to the service " + each.entry.id.str()});
        }
    }
}

/// Finds keys that do not identify one account, without telling them.
void find_ambiguous_keys(const configuration_description& configuration, findings& found) {
    std::map<std::string_view, const placed_entry<account_keys>*> owner;
    for (const auto& each : configuration.accounts) {
        const std::string& name = each.entry.account.id.str();
        if (each.entry.keys.empty()) {
            found.push_back({finding_kind::never_used, each.place, "the account " + name + " has no key"});
        }
        std::set<const placed_entry<account_keys>*> reported;
        for (const std::string& key : each.entry.keys) {
            const auto [known, added] = owner.try_emplace(key, &each);
            if (added || !reported.insert(known->second).second) {
                continue;
            }
            const bool own = known->second == &each;
            found.push_back({own ? finding_kind::never_used : finding_kind::error, each.place,
                             own ? "the account " + name + " has a key twice"
                                 : "expected keys of its own: the account " + name + " has a key of " +
                                       known->second->entry.account.id.str() + " at " +
                                       known->second->place});
        }
    }
}

void find_route_contradictions(const placed_entry<route>& each, findings& found) {
    const route& of = each.entry;
    const auto report = [&found, &each](const std::string& text) {
        found.push_back({finding_kind::contradiction, each.place, text});
    };
    if (of.timeout < of.target_latency) {
        report("the timeout of " + in_ms(of.timeout) + " is below the target of " + in_ms(of.target_latency));
    }
    if (of.target_latency <= duration::zero()) {
        report("the target latency is 0, so that every request is late");
    }
    if (of.max_attempts == 0) {
        report("0 attempts are allowed, so that every request is refused");
    }
    if (of.resumable && of.kind != request_kind::stream) {
        report("resumable, but not a stream");
    }
    if (of.resumable && of.kind == request_kind::stream && of.max_attempts == 1) {
        report("resumable, but the only attempt is the first one");
    }
}

void find_service_contradictions(const placed_entry<backend_service>& each, findings& found) {
    const backend_service& of = each.entry;
    const auto report = [&found, &each](const std::string& text) {
        found.push_back({finding_kind::contradiction, each.place, text});
    };
    if (of.max_connections == 0) {
        report("0 connections are allowed, so that no server can be used");
    }
    if (of.engine && of.engine->slots == 0) {
        report("the engine has 0 slots");
    }
    if (of.engine && of.engine->kv_capacity == token_count(0)) {
        report("the engine has room for 0 tokens");
    }
    if (!of.scaling) {
        return;
    }
    if (of.scaling->min > of.scaling->max) {
        report("the scaling minimum of " + std::to_string(of.scaling->min) + " is above the maximum of " +
               std::to_string(of.scaling->max));
    } else if (of.scaling->max == 0) {
        report("the scaling maximum is 0, so that no engine may exist");
    }
}

void find_limit_contradictions(const configuration_description& configuration, findings& found) {
    const auto report = [&found, &configuration](const std::string& text) {
        found.push_back({finding_kind::contradiction, configuration.limits_place, text});
    };
    if (configuration.limits.header == byte_count(0)) {
        report("headers of 0 bytes are allowed, so that every request is refused");
    }
    if (configuration.limits.header_timeout <= duration::zero()) {
        report("the header timeout is 0, so that every connection is closed");
    }
}

using texts = std::vector<std::string>;

template <class Value>
std::string change(const std::string& what, const Value& before, const Value& after) {
    return before == after ? std::string() : " " + what + " " + before + " -> " + after + ",";
}

std::string text_of(const std::vector<weighted_service>& services) {
    std::string text;
    for (const weighted_service& each : services) {
        text += (text.empty() ? "" : "+") + each.service.str() + "*" + std::to_string(each.weight);
    }
    return text;
}

std::string text_of(bool value) {
    return value ? "yes" : "no";
}

std::string text_of(const std::optional<scaling_limits>& scaling) {
    return scaling ? std::to_string(scaling->min) + ".." + std::to_string(scaling->max) + " boot " +
                         in_ms(scaling->boot)
                   : "none";
}

std::string text_of(const std::optional<engine_parameters>& engine) {
    return engine ? std::to_string(engine->slots) + " slots, " + std::to_string(engine->kv_capacity.value()) +
                        " tokens of " + std::to_string(engine->kv_bytes_per_token.value()) + " bytes, " +
                        std::to_string(engine->link_bits_per_second) + " bit/s, " +
                        std::to_string(engine->tokens_per_event) + " tokens an event, " +
                        std::to_string(engine->max_waiting_cache_queries) + " cache queries"
                  : "none";
}

std::string changes_of(const route& a, const route& b) {
    return change("host", a.host, b.host) + change("path prefix", a.path_prefix, b.path_prefix) +
           change("kind", std::string(to_string(a.kind)), std::string(to_string(b.kind))) +
           change("timeout", in_ms(a.timeout), in_ms(b.timeout)) +
           change("target", in_ms(a.target_latency), in_ms(b.target_latency)) +
           change("longest gap", in_ms(a.max_event_gap), in_ms(b.max_event_gap)) +
           change("priority", std::to_string(a.urgency), std::to_string(b.urgency)) +
           change("attempts", std::to_string(a.max_attempts), std::to_string(b.max_attempts)) +
           change("resumable", text_of(a.resumable), text_of(b.resumable)) +
           change("public", text_of(a.is_public), text_of(b.is_public)) +
           change("services", text_of(a.services), text_of(b.services));
}

std::string changes_of(const backend_service& a, const backend_service& b) {
    return change("connections", std::to_string(a.max_connections), std::to_string(b.max_connections)) +
           change("engine", text_of(a.engine), text_of(b.engine)) +
           change("scaling", text_of(a.scaling), text_of(b.scaling));
}

std::string changes_of(const account_keys& a, const account_keys& b) {
    const auto text_of_urgency = [](const std::optional<unsigned>& urgency) {
        return urgency ? std::to_string(*urgency) : "of the route";
    };
    const std::set<std::string> before(a.keys.begin(), a.keys.end());
    const std::set<std::string> after(b.keys.begin(), b.keys.end());
    const auto missing_in = [](const std::set<std::string>& all, const std::set<std::string>& other) {
        return static_cast<std::uint64_t>(std::count_if(
            all.begin(), all.end(), [&other](const std::string& key) { return !other.contains(key); }));
    };
    const std::uint64_t added = missing_in(after, before);
    const std::uint64_t removed = missing_in(before, after);
    return change("priority", text_of_urgency(a.account.urgency), text_of_urgency(b.account.urgency)) +
           (added > 0 ? " " + count_of(added, "key") + " added," : "") +
           (removed > 0 ? " " + count_of(removed, "key") + " removed," : "");
}

/// Compares two lists whose entries are identified by name.
template <class Entry, class Name>
void compare(const std::vector<placed_entry<Entry>>& before, const std::vector<placed_entry<Entry>>& after,
             const std::string& noun, Name name, texts& differences) {
    const auto by_name = [&name](const std::vector<placed_entry<Entry>>& entries) {
        std::map<std::string, const Entry*> found;
        for (const placed_entry<Entry>& each : entries) {
            found.try_emplace(name(each.entry), &each.entry);
        }
        return found;
    };
    const auto add = [&noun, &differences](const std::string& id, const std::string& what) {
        std::string& line = differences.emplace_back(noun);
        line.append(" ").append(id).append(" ").append(what);
    };
    const auto old_entries = by_name(before);
    const auto new_entries = by_name(after);
    for (const auto& [id, entry] : old_entries) {
        if (!new_entries.contains(id)) {
            add(id, "removed");
        }
    }
    for (const auto& [id, entry] : new_entries) {
        const auto old = old_entries.find(id);
        if (old == old_entries.end()) {
            add(id, "added");
        } else if (std::string changes = changes_of(*old->second, *entry); !changes.empty()) {
            changes.pop_back();
            add(id, "changed:" + changes);
        }
    }
}

std::string route_name(const route& of) {
    return of.id.str();
}

std::string service_name(const backend_service& of) {
    return of.id.str();
}

std::string account_name(const account_keys& of) {
    return of.account.id.str();
}

} // namespace detail

std::string_view to_string(finding_kind kind) noexcept {
    switch (kind) {
    case finding_kind::error:
        return "error";
    case finding_kind::never_used:
        return "never_used";
    case finding_kind::contradiction:
        return "contradiction";
    }
    return "unknown";
}

std::vector<configuration_finding> check_configuration(const configuration_description& configuration) {
    detail::findings found = configuration.undecoded;
    detail::find_duplicates(configuration.routes, "route", detail::route_name, found);
    detail::find_duplicates(configuration.services, "service", detail::service_name, found);
    detail::find_duplicates(configuration.accounts, "account", detail::account_name, found);
    detail::find_unmatched(configuration, found);
    detail::find_unconnected(configuration, found);
    detail::find_ambiguous_keys(configuration, found);
    for (const auto& each : configuration.routes) {
        detail::find_route_contradictions(each, found);
    }
    for (const auto& each : configuration.services) {
        detail::find_service_contradictions(each, found);
    }
    detail::find_limit_contradictions(configuration, found);
    return found;
}

std::vector<configuration_finding> check_succession(const configuration_description& in_force,
                                                    const configuration_description& next) {
    if (next.version > in_force.version) {
        return {};
    }
    const bool same = next.version == in_force.version && list_differences(in_force, next).empty();
    if (same) {
        return {};
    }
    return {{finding_kind::error, next.version_place,
             "expected a version above " + std::to_string(in_force.version.value()) +
                 ", which is in force: hosts keep the newest version, got " +
                 std::to_string(next.version.value())}};
}

std::vector<std::string> list_differences(const configuration_description& in_force,
                                          const configuration_description& next) {
    detail::texts differences;
    const auto add = [&differences](std::string changes) {
        if (!changes.empty()) {
            changes.pop_back();
            differences.push_back(changes.substr(1));
        }
    };
    add(detail::change("version", std::to_string(in_force.version.value()),
                       std::to_string(next.version.value())));
    detail::compare(in_force.routes, next.routes, "route", detail::route_name, differences);
    detail::compare(in_force.services, next.services, "service", detail::service_name, differences);
    detail::compare(in_force.accounts, next.accounts, "account", detail::account_name, differences);
    const caller_limits& a = in_force.limits;
    const caller_limits& b = next.limits;
    add(detail::change("header limit", std::to_string(a.header.value()), std::to_string(b.header.value())));
    add(detail::change("body limit", std::to_string(a.body.value()), std::to_string(b.body.value())));
    add(detail::change("header timeout", detail::in_ms(a.header_timeout), detail::in_ms(b.header_timeout)));
    add(detail::change("idle timeout", detail::in_ms(a.idle_timeout), detail::in_ms(b.idle_timeout)));
    return differences;
}

} // namespace parsleypitch
