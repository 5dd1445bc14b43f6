#include "commands.hpp"

#include "engine_server.hpp"
#include "platform_server.hpp"
#include "service_server.hpp"

#include <cxxopts.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <stdexcept>
#include <thread>

namespace parsleypitch::standins {

namespace {

constexpr int exit_failure = 1;
constexpr int exit_usage = 2;
constexpr milliseconds max_stop_time{800};

sigset_t stop_signals() {
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

int serve(standin_server& server, const cxxopts::ParseResult& options) {
    const auto listen = options["listen"].as<std::string>();
    const std::size_t colon = listen.rfind(':');
    if (colon == std::string::npos) {
        throw std::invalid_argument("--listen " + listen + ": expected IP:PORT");
    }
    const std::string address = listen.substr(0, colon);
    if (const auto started = server.start(std::stoi(listen.substr(colon + 1)), address); !started) {
        std::cerr << started.error().code.message() << ": " << started.error().detail << '\n';
        return exit_failure;
    }
    std::cout << "listening on " << address << ':' << server.port() << std::endl;
    const sigset_t signals = stop_signals();
    int received = 0;
    sigwait(&signals, &received);
    // A handler that a client keeps busy must not delay process exit beyond one second.
    std::thread([] {
        std::this_thread::sleep_for(max_stop_time);
        std::_Exit(0);
    }).detach();
    server.stop();
    return 0;
}

milliseconds ms_option(const cxxopts::ParseResult& options, const char* name) {
    return milliseconds(options[name].as<std::int64_t>());
}

template <class T>
std::shared_ptr<cxxopts::Value> with_default(const T& value) {
    if constexpr (std::is_same_v<T, std::string>) {
        return cxxopts::value<std::string>()->default_value(value);
    } else {
        return cxxopts::value<T>()->default_value((std::ostringstream() << value).str());
    }
}

/// Adds the options common to all subcommands, parses the arguments and calls `run` with the result.
template <class Run>
int with_options(cxxopts::Options& options, const std::vector<std::string>& arguments, Run run) {
    options.add_options()("listen", "address and port; port 0 lets the system choose",
                          with_default(std::string("127.0.0.1:0")), "IP:PORT")("help", "print this text");
    std::vector<const char*> argv{options.program().c_str()};
    for (const std::string& each : arguments) {
        argv.push_back(each.c_str());
    }
    const auto parsed = options.parse(static_cast<int>(argv.size()), argv.data());
    if (parsed.count("help") > 0) {
        std::cout << options.help() << '\n';
        return 0;
    }
    if (!parsed.unmatched().empty()) {
        throw std::invalid_argument("unexpected argument " + parsed.unmatched().front());
    }
    return run(parsed);
}

int run_platform(const std::vector<std::string>& arguments) {
    const platform_options defaults;
    cxxopts::Options options("parsleypitch-standin platform", "Object API, host list and weight store");
    options.add_options()("writes-per-second", "rate of writes", with_default(defaults.writes_per_second),
                          "N")("reads-per-second", "rate of reads", with_default(defaults.reads_per_second),
                               "N")("latency-ms", "time that each call takes",
                                    with_default(defaults.latency.count()), "MS")(
        "host-list-lag-ms", "age of the host list", with_default(defaults.host_list_lag.count()),
        "MS")("weight-bytes-per-second", "rate of the weight store",
              with_default(defaults.weight_bytes_per_second), "N");
    return with_options(options, arguments, [](const cxxopts::ParseResult& parsed) {
        platform_options chosen;
        chosen.writes_per_second = parsed["writes-per-second"].as<double>();
        chosen.reads_per_second = parsed["reads-per-second"].as<double>();
        chosen.latency = ms_option(parsed, "latency-ms");
        chosen.host_list_lag = ms_option(parsed, "host-list-lag-ms");
        chosen.weight_bytes_per_second = parsed["weight-bytes-per-second"].as<double>();
        platform_server server(chosen);
        return serve(server, parsed);
    });
}

void add_engine_options(cxxopts::Options& options) {
    const engine_options defaults;
    auto add = options.add_options();
    add("id", "name of the engine", with_default(std::string("engine")), "ID");
    add("role", "mixed, prefill or decode", with_default(std::string("mixed")), "ROLE");
    add("model", "model served", with_default(std::string("model")), "NAME");
    add("version", "version of the model", with_default(std::string("1")), "V");
    add("adapter", "adapter that is loaded (repeatable)", cxxopts::value<std::vector<std::string>>(), "NAME");
    add("slots", "sequences that run at the same time", with_default(defaults.slots), "N");
    add("max-waiting", "requests that may wait", with_default(defaults.max_waiting), "N");
    add("prefill-chunk", "prompt tokens per step", with_default(defaults.prefill_chunk.value()), "N");
    add("prefill-role-chunk", "prompt tokens per step in role prefill",
        with_default(defaults.prefill_role_chunk.value()), "N");
    add("kv-blocks", "KV blocks of 16 tokens", with_default(defaults.kv_blocks.value()), "N");
    add("base-ms", "duration of a step", with_default(defaults.base_ms), "MS");
    add("per-sequence-ms", "additional step time per decoding sequence",
        with_default(defaults.per_sequence_ms), "MS");
    add("per-prefill-token-ms", "additional step time per prompt token",
        with_default(defaults.per_prefill_token_ms), "MS");
    add("per-import-block-ms", "transfer time of a KV block", with_default(defaults.per_import_block_ms),
        "MS");
    add("cache-event-lag-ms", "age of cache events", with_default(defaults.cache_event_lag.count()), "MS");
    add("load-lag-ms", "age of load reports", with_default(defaults.load_lag.count()), "MS");
    add("role-change-ms", "duration of a role change", with_default(defaults.role_change.count()), "MS");
    add("weight-load-ms", "loading time without weight store", with_default(defaults.weight_load.count()),
        "MS");
    add("adapter-load-ms", "duration of a change of adapters", with_default(defaults.adapter_load.count()),
        "MS");
    add("export-ttl-ms", "time for which a KV cache can be exported",
        with_default(defaults.export_ttl.count()), "MS");
    add("weight-bytes", "size of a model version", with_default(defaults.weight_bytes.value()), "N");
    add("checks-fencing", "refuse orders with an old fencing number");
    add("platform", "address of the weight store", with_default(std::string()), "IP:PORT");
}

engine_setup read_setup(const cxxopts::ParseResult& parsed) {
    const auto role = parse_engine_role(parsed["role"].as<std::string>());
    if (!role) {
        throw std::invalid_argument("--role " + parsed["role"].as<std::string>() +
                                    ": expected mixed, prefill or decode");
    }
    engine_setup setup;
    setup.role = *role;
    setup.model = model_id(parsed["model"].as<std::string>());
    setup.version = model_version(parsed["version"].as<std::string>());
    if (parsed.count("adapter") > 0) {
        for (const std::string& each : parsed["adapter"].as<std::vector<std::string>>()) {
            setup.adapters.insert(adapter_id(each));
        }
    }
    return setup;
}

engine_options read_engine_options(const cxxopts::ParseResult& parsed) {
    engine_options chosen;
    chosen.id = parsed["id"].as<std::string>();
    chosen.setup = read_setup(parsed);
    chosen.slots = parsed["slots"].as<std::size_t>();
    chosen.max_waiting = parsed["max-waiting"].as<std::size_t>();
    chosen.prefill_chunk = token_count(parsed["prefill-chunk"].as<std::int64_t>());
    chosen.prefill_role_chunk = token_count(parsed["prefill-role-chunk"].as<std::int64_t>());
    chosen.kv_blocks = kv_block_count(parsed["kv-blocks"].as<std::int64_t>());
    chosen.base_ms = parsed["base-ms"].as<double>();
    chosen.per_sequence_ms = parsed["per-sequence-ms"].as<double>();
    chosen.per_prefill_token_ms = parsed["per-prefill-token-ms"].as<double>();
    chosen.per_import_block_ms = parsed["per-import-block-ms"].as<double>();
    chosen.cache_event_lag = ms_option(parsed, "cache-event-lag-ms");
    chosen.load_lag = ms_option(parsed, "load-lag-ms");
    chosen.role_change = ms_option(parsed, "role-change-ms");
    chosen.weight_load = ms_option(parsed, "weight-load-ms");
    chosen.adapter_load = ms_option(parsed, "adapter-load-ms");
    chosen.export_ttl = ms_option(parsed, "export-ttl-ms");
    chosen.weight_bytes = byte_count(parsed["weight-bytes"].as<std::int64_t>());
    chosen.checks_fencing = parsed.count("checks-fencing") > 0;
    chosen.platform = endpoint(parsed["platform"].as<std::string>());
    return chosen;
}

int run_engine(const std::vector<std::string>& arguments) {
    cxxopts::Options options("parsleypitch-standin engine", "Model engine");
    add_engine_options(options);
    return with_options(options, arguments, [](const cxxopts::ParseResult& parsed) {
        engine_server server(read_engine_options(parsed));
        return serve(server, parsed);
    });
}

std::map<operation_id, duration> read_operations(const std::vector<std::string>& texts) {
    std::map<operation_id, duration> operations;
    for (const std::string& each : texts) {
        const std::size_t equals = each.find('=');
        if (equals == std::string::npos) {
            throw std::invalid_argument("--operation " + each + ": expected NAME=MS");
        }
        operations[operation_id(each.substr(0, equals))] =
            from_seconds(std::stod(each.substr(equals + 1)) / 1000.0);
    }
    return operations;
}

int run_service(const std::vector<std::string>& arguments) {
    const service_options defaults;
    cxxopts::Options options("parsleypitch-standin service", "Plain service");
    options.add_options()("id", "name of the service", with_default(std::string("service")), "ID")(
        "slots", "calls that run at the same time", with_default(defaults.slots),
        "N")("max-waiting", "calls that may wait", with_default(defaults.max_waiting),
             "N")("operation", "operation and its service time (repeatable)",
                  cxxopts::value<std::vector<std::string>>(),
                  "NAME=MS")("bookings", "platform stand-in that keeps the shared bookings",
                             with_default(std::string()), "IP:PORT");
    return with_options(options, arguments, [](const cxxopts::ParseResult& parsed) {
        service_options chosen;
        chosen.bookings = parsed["bookings"].as<std::string>();
        chosen.id = parsed["id"].as<std::string>();
        chosen.slots = parsed["slots"].as<std::size_t>();
        chosen.max_waiting = parsed["max-waiting"].as<std::size_t>();
        if (parsed.count("operation") > 0) {
            chosen.operations = read_operations(parsed["operation"].as<std::vector<std::string>>());
        }
        service_server server(chosen);
        return serve(server, parsed);
    });
}

int dispatch(const std::vector<std::string>& arguments) {
    const std::string name = arguments.empty() ? "" : arguments.front();
    const std::vector<std::string> rest(arguments.empty() ? arguments.end() : arguments.begin() + 1,
                                        arguments.end());
    if (name == "platform") {
        return run_platform(rest);
    }
    if (name == "engine") {
        return run_engine(rest);
    }
    if (name == "service") {
        return run_service(rest);
    }
    const bool asked_for_help = name == "--help" || name == "help";
    (asked_for_help ? std::cout : std::cerr)
        << "usage: parsleypitch-standin platform|engine|service [OPTIONS]\n\nEach command has --help.\n";
    return asked_for_help ? 0 : exit_usage;
}

} // namespace

int run(const std::vector<std::string>& arguments) {
    const sigset_t signals = stop_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr); // every thread inherits the mask; sigwait takes them
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return dispatch(arguments);
    } catch (const std::exception& failure) {
        std::cerr << "parsleypitch-standin: " << failure.what() << '\n';
        return exit_usage;
    }
}

} // namespace parsleypitch::standins
