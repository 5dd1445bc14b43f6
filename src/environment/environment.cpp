#include "settings/toml_reader.hpp"

#include <parsleypitch/environment/environment.hpp>

#include <algorithm>
#include <cctype>
#include <set>
#include <tuple>

namespace parsleypitch {

namespace detail {

constexpr double max_worth = 1'000'000;
constexpr std::int64_t max_target_ms = 3'600'000;

rank_policy read_rank(toml_reader reader) {
    rank_policy policy;
    policy.worth = reader.number_or("worth", policy.worth, 0, max_worth);
    policy.target = milliseconds(reader.integer_or("target_ms", policy.target.count(), 1, max_target_ms));
    policy.between_tokens =
        milliseconds(reader.integer_or("between_tokens_ms", policy.between_tokens.count(), 1, max_target_ms));
    policy.deadline =
        milliseconds(reader.integer_or("deadline_ms", policy.deadline.count(), 1, max_target_ms));
    policy.floor = reader.number_or("floor", policy.floor, 0, 1);
    reader.finish();
    return policy;
}

void read_ranks(toml_reader& root, environment& value) {
    toml_reader reader = root.table("ranks");
    double floors = 0;
    for (const rank r : all_ranks) {
        value.ranks[index_of(r)] = read_rank(reader.table(to_string(r)));
        floors += value.ranks[index_of(r)].floor;
    }
    // Decimal fractions such as 0.1 have no exact binary form, so that a sum of 1 may come out slightly
    // above.
    constexpr double rounding = 1e-9;
    if (floors > 1 + rounding) {
        reader.report("", errc::out_of_range, "the floors of all ranks add up to more than 1");
    }
    reader.finish();
}

template <class Id>
std::vector<Id> to_ids(std::vector<std::string> texts) {
    std::vector<Id> ids;
    ids.reserve(texts.size());
    for (std::string& text : texts) {
        ids.emplace_back(std::move(text));
    }
    return ids;
}

/// Ids become parts of object keys and of URLs, so that only unreserved characters are allowed.
bool is_plain_name(std::string_view text) {
    return std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == ':' || c == '@';
    });
}

void check_name(toml_reader& reader, std::string_view key, const std::string& text) {
    constexpr std::size_t max_name = 200;
    if (!is_plain_name(text) || text.size() > max_name) {
        reader.report(key, errc::out_of_range,
                      "expected at most 200 letters, digits or characters of -_.:@, got " + text);
    }
}

/// Reports an id that occurs for the second time in its list.
template <class Id>
void check_unique(toml_reader& reader, std::set<Id>& seen, const Id& id) {
    check_name(reader, "id", id.str());
    if (!id.empty() && !seen.insert(id).second) {
        reader.report("id", errc::duplicate_entry, id.str() + " is defined twice");
    }
}

/// Reports a reference to an id that the document doesn't define.
template <class Id>
void check_defined(toml_reader& reader, std::string_view key, const std::set<Id>& defined, const Id& id) {
    if (!id.empty() && defined.find(id) == defined.end()) {
        reader.report(key, errc::unresolved_reference, id.str() + " is not defined in this document");
    }
}

void check_adapters(toml_reader& reader, const std::vector<adapter_id>& adapters) {
    std::set<adapter_id> seen;
    for (const adapter_id& adapter : adapters) {
        if (adapter.empty()) {
            reader.report("adapters", errc::out_of_range, "expected strings that are not empty");
        } else if (!seen.insert(adapter).second) {
            reader.report("adapters", errc::duplicate_entry, adapter.str() + " is listed twice");
        }
    }
}

plain_service_spec read_plain_service(toml_reader& reader) {
    plain_service_spec spec;
    spec.id = plain_service_id(reader.text("id"));
    std::set<operation_id> operations;
    for (toml_reader& each : reader.tables("operation")) {
        operation_spec operation;
        operation.id = operation_id(each.text("id"));
        operation.repeatable = each.flag_or("repeatable", true);
        check_unique(each, operations, operation.id);
        each.finish();
        spec.operations.push_back(std::move(operation));
    }
    return spec;
}

account_spec read_account(toml_reader& reader) {
    account_spec spec;
    spec.id = caller_id(reader.text("id"));
    spec.key_sha256 = reader.text("key_sha256");
    if (!spec.key_sha256.empty() &&
        (spec.key_sha256.size() != 64 ||
         spec.key_sha256.find_first_not_of("0123456789abcdef") != std::string::npos)) {
        reader.report("key_sha256", errc::out_of_range, "expected 64 lower-case hexadecimal digits");
    }
    const std::string highest = reader.text("highest_rank");
    const auto parsed = parse_rank(highest);
    if (!parsed && !highest.empty()) {
        reader.report("highest_rank", errc::out_of_range, "expected urgent, normal or bulk, got " + highest);
    }
    spec.highest_rank = parsed.value_or(rank::bulk);
    spec.weight = reader.number_or("weight", 1, 0.001, 1000);
    return spec;
}

/// Reads the parts of a document in the order in which later ones refer to earlier ones.
class environment_reader {
  public:
    environment_reader(toml_reader& root, environment& value) : m_root(root), m_value(value) {}

    void read() {
        toml_reader head = m_root.table("environment");
        m_value.name = environment_name(head.text("name"));
        check_name(head, "name", m_value.name.str());
        head.finish();
        read_ranks(m_root, m_value);
        read_zones();
        read_models();
        read_plain_services();
        read_backend_servers();
        read_accounts();
        m_root.finish();
    }

  private:
    void read_zones() {
        for (toml_reader& reader : m_root.tables("zone")) {
            availability_zone_spec spec;
            spec.id = availability_zone_id(reader.text("id"));
            spec.region = reader.text_or("region", "");
            check_unique(reader, m_zones, spec.id);
            reader.finish();
            m_value.zones.push_back(std::move(spec));
        }
    }

    void read_models() {
        for (toml_reader& reader : m_root.tables("model")) {
            model_spec spec;
            spec.id = model_id(reader.text("id"));
            spec.version = model_version(reader.text("version"));
            spec.adapters = to_ids<adapter_id>(reader.texts("adapters"));
            check_unique(reader, m_models, spec.id);
            check_adapters(reader, spec.adapters);
            reader.finish();
            m_value.models.push_back(std::move(spec));
        }
    }

    void read_plain_services() {
        for (toml_reader& reader : m_root.tables("service")) {
            plain_service_spec spec = read_plain_service(reader);
            check_unique(reader, m_services, spec.id);
            reader.finish();
            m_value.plain_services.push_back(std::move(spec));
        }
    }

    void read_backend_servers() {
        std::set<backend_server_id> seen;
        for (toml_reader& reader : m_root.tables("backend_server")) {
            backend_server_spec spec;
            spec.id = backend_server_id(reader.text("id"));
            spec.zone = availability_zone_id(reader.text("zone"));
            spec.model = model_id(reader.text_or("model", ""));
            spec.plain_service = plain_service_id(reader.text_or("service", ""));
            spec.checks_fencing = reader.flag_or("checks_fencing", false);
            check_unique(reader, seen, spec.id);
            check_defined(reader, "zone", m_zones, spec.zone);
            check_defined(reader, "model", m_models, spec.model);
            check_defined(reader, "service", m_services, spec.plain_service);
            if (spec.model.empty() == spec.plain_service.empty()) {
                reader.report("", errc::missing_key, "expected either model or service");
            }
            reader.finish();
            m_value.backend_servers.push_back(std::move(spec));
        }
    }

    void read_accounts() {
        std::set<caller_id> seen;
        std::set<std::string> keys;
        for (toml_reader& reader : m_root.tables("account")) {
            account_spec spec = read_account(reader);
            if (!spec.key_sha256.empty() && !keys.insert(spec.key_sha256).second) {
                reader.report("key_sha256", errc::duplicate_entry, "another account has the same key");
            }
            check_unique(reader, seen, spec.id);
            reader.finish();
            m_value.accounts.push_back(std::move(spec));
        }
    }

    toml_reader& m_root;
    environment& m_value;
    std::set<availability_zone_id> m_zones;
    std::set<model_id> m_models;
    std::set<plain_service_id> m_services;
};

} // namespace detail

parsed_environment parse_environment(std::string_view text) {
    parsed_environment parsed;
    toml::table table;
    try {
        table = toml::parse(text);
    } catch (const toml::parse_error& failure) {
        const toml::source_position at = failure.source().begin;
        parsed.mistakes.push_back(
            {at.line, at.column, fail(errc::malformed_document, std::string(failure.description()))});
        return parsed;
    }
    std::vector<detail::toml_mistake> mistakes;
    detail::toml_reader root(table, "", mistakes);
    detail::environment_reader(root, parsed.value).read();
    for (detail::toml_mistake& mistake : mistakes) {
        // A table that is missing has no place; it is reported at the start of the document.
        parsed.mistakes.push_back({std::max<std::size_t>(mistake.line, 1),
                                   std::max<std::size_t>(mistake.column, 1), std::move(mistake.what)});
    }
    std::stable_sort(parsed.mistakes.begin(), parsed.mistakes.end(),
                     [](const document_mistake& a, const document_mistake& b) {
                         return std::tie(a.line, a.column) < std::tie(b.line, b.column);
                     });
    return parsed;
}

} // namespace parsleypitch
