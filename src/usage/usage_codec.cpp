#include <parsleypitch/encoding/json_slices.hpp>
#include <parsleypitch/usage/usage_codec.hpp>

#include <nlohmann/json.hpp>

namespace parsleypitch {

namespace {

using nlohmann::json;

// Names are short, since messages are sent every second.
constexpr const char* from_key = "from";
constexpr const char* born_key = "born";
constexpr const char* reported_key = "reported";
constexpr const char* asked_key = "asked";
constexpr const char* after_key = "after";
constexpr const char* last_key = "last";
constexpr const char* counts_key = "counts";
constexpr const char* window_key = "window";
constexpr const char* term_key = "term";
constexpr const char* era_key = "era";

/// Deepest nesting of a message; the library copies nested values recursively.
constexpr std::size_t max_depth = 8;

/// Parses a message.
/// @return null if it is no JSON or is nested too deep
json parse(const std::string& text) {
    return json_depth_is_within(text, max_depth) ? json::parse(text, nullptr, false) : json();
}

/// Reads members of a JSON object and remembers whether one was missing or of another type.
class member_reader {
  public:
    explicit member_reader(const json& from) : m_from(&from), m_is_sound(from.is_object()) {}

    [[nodiscard]] std::uint64_t number(const char* key) {
        const json* found = find(key);
        m_is_sound = m_is_sound && found != nullptr && found->is_number_unsigned();
        return m_is_sound ? found->get<std::uint64_t>() : 0;
    }
    [[nodiscard]] std::string text(const char* key) {
        const json* found = find(key);
        m_is_sound = m_is_sound && found != nullptr && found->is_string();
        return m_is_sound ? found->get<std::string>() : "";
    }
    [[nodiscard]] account_counts counts(const json& from) {
        account_counts decoded;
        m_is_sound = m_is_sound && from.is_object();
        if (m_is_sound) {
            for (const auto& [account, count] : from.items()) {
                m_is_sound = m_is_sound && count.is_number_unsigned();
                if (m_is_sound) {
                    decoded[caller_id(account)] = request_count(count.get<std::int64_t>());
                }
            }
        }
        return decoded;
    }
    [[nodiscard]] const json* find(const char* key) const {
        const auto found = m_is_sound ? m_from->find(key) : m_from->end();
        return m_is_sound && found != m_from->end() ? &*found : nullptr;
    }
    void fail_reading() { m_is_sound = false; }
    [[nodiscard]] bool is_sound() const { return m_is_sound; }

  private:
    const json* m_from;
    bool m_is_sound;
};

json encode_counts(const account_counts& counts) {
    json encoded = json::object();
    for (const auto& [account, count] : counts) {
        encoded[account.str()] = static_cast<std::uint64_t>(count.value());
    }
    return encoded;
}

/// Decodes the counts of one origin and window: `[host, born, window, {account: count}]`.
void decode_group(member_reader& reader, const json& group, std::vector<usage_count>& out) {
    const bool well_formed = group.is_array() && group.size() == 4 && group[0].is_string() &&
                             group[1].is_number_unsigned() && group[2].is_number_unsigned();
    if (!well_formed) {
        reader.fail_reading();
        return;
    }
    const usage_origin origin{entry_host_id(group[0].get<std::string>()),
                              incarnation(group[1].get<std::uint64_t>())};
    const usage_window window(group[2].get<std::uint64_t>());
    for (const auto& [account, count] : reader.counts(group[3])) {
        out.push_back({origin, window, account, count});
    }
}

} // namespace

std::string encode_usage_query(const usage_query& query) {
    json encoded{{from_key, query.from.host.str()},
                 {born_key, query.from.born.value()},
                 {asked_key, query.asked.value()},
                 {after_key, query.after.value()}};
    if (query.reported) {
        encoded[reported_key] = query.reported->value();
    }
    return encoded.dump();
}

result<usage_query> decode_usage_query(const std::string& body) {
    const json parsed = parse(body);
    member_reader reader(parsed);
    usage_query query;
    query.from = {entry_host_id(reader.text(from_key)), incarnation(reader.number(born_key))};
    query.asked = incarnation(reader.number(asked_key));
    query.after = usage_change(reader.number(after_key));
    if (reader.find(reported_key) != nullptr) {
        query.reported = usage_window(reader.number(reported_key));
    }
    if (!reader.is_sound()) {
        return fail(errc::malformed_document, "query for usage counts");
    }
    return query;
}

std::string encode_usage_news(const usage_news& news) {
    std::map<std::pair<usage_origin, usage_window>, account_counts> groups;
    for (const usage_count& each : news.counts) {
        groups[{each.origin, each.window}][each.account] = each.count;
    }
    json encoded{
        {from_key, news.from.host.str()}, {born_key, news.from.born.value()}, {last_key, news.last.value()}};
    for (const auto& [of, counts] : groups) {
        encoded[counts_key].push_back(json::array(
            {of.first.host.str(), of.first.born.value(), of.second.value(), encode_counts(counts)}));
    }
    return encoded.dump();
}

result<usage_news> decode_usage_news(const std::string& body) {
    const json parsed = parse(body);
    member_reader reader(parsed);
    usage_news news;
    news.from = {entry_host_id(reader.text(from_key)), incarnation(reader.number(born_key))};
    news.last = usage_change(reader.number(last_key));
    if (const json* groups = reader.find(counts_key)) {
        if (!groups->is_array()) {
            reader.fail_reading();
        } else {
            for (const json& group : *groups) {
                decode_group(reader, group, news.counts);
            }
        }
    }
    if (!reader.is_sound()) {
        return fail(errc::malformed_document, "usage counts of a host");
    }
    return news;
}

std::string encode_usage_record(const usage_record& record) {
    return json{{window_key, record.report.window.value()},
                {counts_key, encode_counts(record.report.counts)},
                {term_key, record.term.value()},
                {era_key, record.era.value()}}
        .dump();
}

result<usage_record> decode_usage_record(const std::string& content) {
    const json parsed = parse(content);
    member_reader reader(parsed);
    usage_record record;
    record.report.window = usage_window(reader.number(window_key));
    const json* counts = reader.find(counts_key);
    record.report.counts = reader.counts(counts == nullptr ? json() : *counts);
    record.term = fencing_number(reader.number(term_key));
    record.era = store_era(reader.number(era_key));
    if (!reader.is_sound()) {
        return fail(errc::malformed_document, "record of the last usage report");
    }
    return record;
}

} // namespace parsleypitch
