#include "cli/check_command.hpp"

#include "cli/command_line.hpp"

#include <parsleypitch/configuration/configuration_check.hpp>
#include <parsleypitch/settings/settings.hpp>

#include <nlohmann/json.hpp>

#include <ostream>

namespace parsleypitch::cli {

namespace {

using nlohmann::json;

constexpr int exit_unreadable = 2;

struct check_result {
    std::string file;
    std::vector<configuration_finding> findings;
    /// Empty if there is no version in force to compare with.
    std::optional<std::vector<std::string>> differences;
};

std::string text_of(const check_result& checked) {
    std::string text;
    for (const configuration_finding& each : checked.findings) {
        text += checked.file + ": " + each.place + ": " + std::string(to_string(each.kind)) + ": " +
                each.text + "\n";
    }
    for (const std::string& each : checked.differences.value_or(std::vector<std::string>())) {
        text += "difference: " + each + "\n";
    }
    if (checked.differences && checked.differences->empty()) {
        text += "no differences from the version in force\n";
    }
    const std::size_t count = checked.findings.size();
    text += count == 0 ? checked.file + ": valid"
                       : std::to_string(count) + (count == 1 ? " finding" : " findings");
    return text;
}

json encode(const check_result& checked) {
    json findings = json::array();
    for (const configuration_finding& each : checked.findings) {
        findings.push_back(
            {{"kind", std::string(to_string(each.kind))}, {"place", each.place}, {"message", each.text}});
    }
    json encoded = {
        {"file", checked.file}, {"valid", checked.findings.empty()}, {"findings", std::move(findings)}};
    if (checked.differences) {
        encoded["differences"] = *checked.differences;
    }
    return encoded;
}

result<configuration_description> read_configuration(const platform_adapter& adapter,
                                                     const std::string& file) {
    BOOST_OUTCOME_TRY(text, read_file(file));
    return adapter.describe_configuration(text);
}

/// Prints why a file can't be read. The content may hold keys and is not printed.
int report_unreadable(const std::string& file, const error& why, std::ostream& err) {
    err << file << ": " << to_string(why) << '\n';
    return exit_unreadable;
}

int check(const platform_adapter& adapter, const cxxopts::ParseResult& parsed, std::ostream& out,
          std::ostream& err) {
    const auto files = parsed.count("file") == 0 ? std::vector<std::string>()
                                                 : parsed["file"].as<std::vector<std::string>>();
    if (files.size() != 1) {
        err << "check: expected FILE\n";
        return exit_usage;
    }
    const auto next = read_configuration(adapter, files.front());
    if (!next) {
        return report_unreadable(files.front(), next.error(), err);
    }
    check_result checked{files.front(), check_configuration(next.value()), std::nullopt};
    if (parsed.count("in-force") > 0) {
        const auto file = parsed["in-force"].as<std::string>();
        const auto in_force = read_configuration(adapter, file);
        if (!in_force) {
            return report_unreadable(file, in_force.error(), err);
        }
        checked.differences = list_differences(in_force.value(), next.value());
        for (configuration_finding& each : check_succession(in_force.value(), next.value())) {
            checked.findings.push_back(std::move(each));
        }
    }
    if (parsed.count("json") > 0) {
        out << encode(checked).dump(2, ' ', false, json::error_handler_t::replace) << '\n';
    } else {
        out << text_of(checked) << '\n';
    }
    return checked.findings.empty() ? exit_success : exit_failure;
}

} // namespace

command check_command(platform_adapter adapter, std::ostream& out, std::ostream& err) {
    const std::string summary = "check a configuration of the platform before it is published";
    return {"check", summary,
            [summary, adapter = std::move(adapter), &out, &err](const std::vector<std::string>& arguments) {
                cxxopts::Options options("parsleypitch check", summary);
                options.add_options()("in-force", "configuration in force, to list the differences",
                                      cxxopts::value<std::string>(), "FILE")("json", "print JSON")(
                    "file", "configuration to check", cxxopts::value<std::vector<std::string>>());
                options.parse_positional({"file"});
                options.positional_help("FILE").show_positional_help();
                return run_with_options(
                    "check", options, arguments,
                    [&adapter, &out, &err](const auto& parsed) { return check(adapter, parsed, out, err); });
            }};
}

} // namespace parsleypitch::cli
