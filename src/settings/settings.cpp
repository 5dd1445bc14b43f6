#include "settings/toml_reader.hpp"

#include <parsleypitch/settings/settings.hpp>

#include <fstream>
#include <sstream>

namespace parsleypitch {

namespace detail {

constexpr std::int64_t max_caller_threads = 4096;
constexpr std::int64_t max_slots = 4096;
constexpr std::int64_t max_queue_limit = 65536;
constexpr std::int64_t max_log_level = 3;
constexpr std::int64_t max_body_bytes_limit = 64'000'000;

std::vector<endpoint> read_endpoints(toml_reader& reader, std::string_view key) {
    std::vector<endpoint> endpoints;
    for (std::string& text : reader.texts(key)) {
        if (!is_endpoint(text)) {
            reader.report(key, errc::out_of_range,
                          "expected IP addresses with ports such as 10.0.0.1:8080, got " + text);
        }
        endpoints.emplace_back(std::move(text));
    }
    return endpoints;
}

platform_settings read_platform(toml_reader& root) {
    toml_reader reader = root.table("platform");
    platform_settings platform;
    platform.objects = endpoint(reader.endpoint_text("objects"));
    platform.hosts = endpoint(reader.endpoint_text("hosts"));
    reader.finish();
    return platform;
}

/// Parses the text and fills the settings with `read`. If there are mistakes, returns an error with the code
/// of the first and a detail that lists all.
template <class Settings, class Read>
result<Settings> parse_settings(std::string_view text, std::string_view file_name, Read read) {
    BOOST_OUTCOME_TRY(table, parse_toml(text, file_name));
    std::vector<toml_mistake> mistakes;
    toml_reader root(table, "", mistakes);
    Settings settings;
    read(root, settings);
    root.finish();
    if (!mistakes.empty()) {
        return error{mistakes.front().what.code, format_mistakes(file_name, mistakes)};
    }
    return settings;
}

void read_entry(toml_reader& root, entry_settings& settings) {
    toml_reader reader = root.table("entry_host");
    settings.id = entry_host_id(reader.text("id"));
    settings.zone = availability_zone_id(reader.text("zone"));
    settings.environment = environment_name(reader.text("environment"));
    settings.callers = endpoint(reader.endpoint_text("callers"));
    settings.peers = endpoint(reader.endpoint_text("peers"));
    settings.seeds = read_endpoints(reader, "seeds");
    settings.caller_threads = static_cast<unsigned>(
        reader.integer_or("caller_threads", settings.caller_threads, 1, max_caller_threads));
    settings.max_body =
        byte_count(reader.integer_or("max_body_bytes", settings.max_body.value(), 1, max_body_bytes_limit));
    settings.planner = reader.flag_or("planner", settings.planner);
    settings.log_level =
        static_cast<int>(reader.integer_or("log_level", settings.log_level, 0, max_log_level));
    reader.finish();
    settings.platform = read_platform(root);
}

void read_agent(toml_reader& root, agent_settings& settings) {
    toml_reader reader = root.table("agent");
    settings.id = backend_server_id(reader.text("id"));
    settings.zone = availability_zone_id(reader.text("zone"));
    settings.environment = environment_name(reader.text("environment"));
    settings.listen = endpoint(reader.endpoint_text("listen"));
    settings.backend = endpoint(reader.endpoint_text("backend"));
    settings.seeds = read_endpoints(reader, "seeds");
    settings.plain_service = plain_service_id(reader.text_or("plain_service", ""));
    settings.kind = settings.plain_service.empty() ? member_kind::engine : member_kind::plain_service;
    settings.slots = request_count(reader.integer_or("slots", settings.slots.value(), 1, max_slots));
    settings.queue_limit =
        request_count(reader.integer_or("queue_limit", settings.queue_limit.value(), 0, max_queue_limit));
    settings.log_level =
        static_cast<int>(reader.integer_or("log_level", settings.log_level, 0, max_log_level));
    reader.finish();
    settings.platform = read_platform(root);
}

} // namespace detail

result<entry_settings> parse_entry_settings(std::string_view text, std::string_view file_name) {
    return detail::parse_settings<entry_settings>(text, file_name, detail::read_entry);
}

result<agent_settings> parse_agent_settings(std::string_view text, std::string_view file_name) {
    return detail::parse_settings<agent_settings>(text, file_name, detail::read_agent);
}

result<std::string> read_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return fail(errc::unreadable_file, path);
    }
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

} // namespace parsleypitch
