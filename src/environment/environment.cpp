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
    double floor_sum = 0;
    for (const rank r : all_ranks) {
        value.ranks[index_of(r)] = read_rank(reader.table(to_string(r)));
        floor_sum += value.ranks[index_of(r)].floor;
    }
    // Decimal fractions such as 0.1 have no exact binary form, so that floors with a sum of 1 may add up to
    // slightly more than 1.
    constexpr double rounding_tolerance = 1e-9;
    if (floor_sum > 1 + rounding_tolerance) {
        reader.report("", errc::out_of_range,
                      "the floors of all ranks add up to " + std::to_string(floor_sum) +
                          ", expected at most 1");
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

/// Whether a name can be used in object keys and URLs without being encoded.
bool has_only_name_characters(std::string_view text) {
    return std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == ':' || c == '@';
    });
}

void check_name(toml_reader& reader, std::string_view key, const std::string& text) {
    constexpr std::size_t max_name_length = 200;
    if (!has_only_name_characters(text) || text.size() > max_name_length) {
        reader.report(key, errc::out_of_range,
                      "expected at most 200 letters, digits or characters of -_.:@, got " + text);
    }
}

/// Reports an id that is not a valid name or that already occurred in its list.
template <class Id>
void check_new_id(toml_reader& reader, std::set<Id>& seen, const Id& id) {
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
            reader.report("adapters", errc::out_of_range, "expected non-empty strings");
        } else if (!seen.insert(adapter).second) {
            reader.report("adapters", errc::duplicate_entry, adapter.str() + " is listed twice");
        }
    }
}

plain_service_spec read_plain_service(toml_reader& reader) {
    plain_service_spec spec;
    spec.id = plain_service_id(reader.text("id"));
    std::set<operation_id> operations;
    for (toml_reader& item : reader.tables("operation")) {
        operation_spec operation;
        operation.id = operation_id(item.text("id"));
        operation.repeatable = item.flag_or("repeatable", true);
        check_new_id(item, operations, operation.id);
        item.finish();
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
    const std::string rank_text = reader.text("highest_rank");
    const auto parsed = parse_rank(rank_text);
    if (!parsed && !rank_text.empty()) {
        reader.report("highest_rank", errc::out_of_range,
                      "expected urgent, normal or bulk, got " + rank_text);
    }
    spec.highest_rank = parsed.value_or(rank::bulk);
    spec.weight = reader.number_or("weight", 1, 0.001, 1000);
    return spec;
}

/// Reads the sections of a document. A section is read after those to which it refers.
class environment_reader {
  public:
    environment_reader(toml_reader& root, environment& value) : m_root(root), m_value(value) {}

    void read() {
        toml_reader reader = m_root.table("environment");
        m_value.name = environment_name(reader.text("name"));
        check_name(reader, "name", m_value.name.str());
        reader.finish();
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
            check_new_id(reader, m_zone_ids, spec.id);
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
            check_new_id(reader, m_model_ids, spec.id);
            check_adapters(reader, spec.adapters);
            reader.finish();
            m_value.models.push_back(std::move(spec));
        }
    }

    void read_plain_services() {
        for (toml_reader& reader : m_root.tables("service")) {
            plain_service_spec spec = read_plain_service(reader);
            check_new_id(reader, m_service_ids, spec.id);
            reader.finish();
            m_value.plain_services.push_back(std::move(spec));
        }
    }

    void read_backend_servers() {
        std::set<backend_server_id> ids;
        for (toml_reader& reader : m_root.tables("backend_server")) {
            backend_server_spec spec;
            spec.id = backend_server_id(reader.text("id"));
            spec.zone = availability_zone_id(reader.text("zone"));
            spec.model = model_id(reader.text_or("model", ""));
            spec.plain_service = plain_service_id(reader.text_or("service", ""));
            spec.checks_fencing = reader.flag_or("checks_fencing", false);
            check_new_id(reader, ids, spec.id);
            check_defined(reader, "zone", m_zone_ids, spec.zone);
            check_defined(reader, "model", m_model_ids, spec.model);
            check_defined(reader, "service", m_service_ids, spec.plain_service);
            if (spec.model.empty() == spec.plain_service.empty()) {
                reader.report("", errc::missing_key, "expected either model or service");
            }
            reader.finish();
            m_value.backend_servers.push_back(std::move(spec));
        }
    }

    void read_accounts() {
        std::set<caller_id> ids;
        std::set<std::string> key_hashes;
        for (toml_reader& reader : m_root.tables("account")) {
            account_spec spec = read_account(reader);
            if (!spec.key_sha256.empty() && !key_hashes.insert(spec.key_sha256).second) {
                reader.report("key_sha256", errc::duplicate_entry, "another account has the same key");
            }
            check_new_id(reader, ids, spec.id);
            reader.finish();
            m_value.accounts.push_back(std::move(spec));
        }
    }

    toml_reader& m_root;
    environment& m_value;
    std::set<availability_zone_id> m_zone_ids;
    std::set<model_id> m_model_ids;
    std::set<plain_service_id> m_service_ids;
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
        // A missing table has no position and is reported at the start of the document.
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
