#include "soak_traffic.hpp"

#include "names.hpp"

#include <asio/post.hpp>

#include <future>

namespace parsleypitch::soak {

namespace {

using nlohmann::json;
namespace names = platform::names;

constexpr unsigned callers_port = 8149;
constexpr unsigned readiness_port = 8141;
constexpr unsigned store_port = 8142;
constexpr unsigned engine_port = 8080;
constexpr unsigned link_port_distance = 1000;
// A run uses the addresses 127.A.B.1 to 127.A.B+3.250; the blocks repeat after 250 x 50 run numbers.
constexpr unsigned numbers_per_part = 250;
constexpr unsigned blocks_per_part = 50;
constexpr std::size_t zones = 2;

const backend_service_id& model_service() {
    static const backend_service_id id("desk-model");
    return id;
}

const backend_service_id& plain_service(std::uint64_t number) {
    static const std::vector<backend_service_id> ids = {backend_service_id("desk-a"),
                                                        backend_service_id("desk-b")};
    return ids[number % ids.size()];
}

std::vector<caller_target> targets(const soak_plan& plan, const soak_network& network) {
    std::vector<caller_target> host_targets;
    for (std::size_t host = 0; host < plan.entry_hosts; ++host) {
        host_targets.push_back({host_id(host), network.host_link(host), network.host_readiness(host)});
    }
    return host_targets;
}

const char* kind_text(request_kind kind) {
    switch (kind) {
    case request_kind::idempotent:
        return "idempotent";
    case request_kind::at_most_once:
        return "non_idempotent";
    case request_kind::stream:
        break;
    }
    return "streaming";
}

endpoint at(const std::string& ip, unsigned port) {
    return endpoint(ip + ":" + std::to_string(port));
}

} // namespace

entry_host_id host_id(std::size_t host) {
    return entry_host_id("edge-" + std::to_string(host));
}

availability_zone_id zone_of(std::size_t number) {
    return availability_zone_id(number % zones == 0 ? "north" : "south");
}

std::string soak_network::ip(group which, std::size_t number) const {
    const unsigned block = m_number / numbers_per_part % blocks_per_part;
    const unsigned third = block * static_cast<unsigned>(group::count) + static_cast<unsigned>(which);
    return "127." + std::to_string(1 + m_number % numbers_per_part) + "." + std::to_string(third) + "." +
           std::to_string(1 + number % numbers_per_part);
}

std::string soak_network::host_ip(std::size_t host) const {
    return ip(group::hosts, host);
}

endpoint soak_network::host_callers(std::size_t host) const {
    return at(host_ip(host), callers_port);
}

endpoint soak_network::host_readiness(std::size_t host) const {
    return at(host_ip(host), readiness_port);
}

endpoint soak_network::host_link(std::size_t host) const {
    return at(ip(group::host_links, host), callers_port);
}

endpoint soak_network::store() const {
    return at(ip(group::store, 0), store_port);
}

endpoint soak_network::store_link(std::size_t host) const {
    return at(ip(group::host_links, host), store_port);
}

endpoint soak_network::engine(std::size_t engine) const {
    const auto round = static_cast<unsigned>(engine / numbers_per_part);
    return at(ip(group::engines, engine), engine_port + round);
}

endpoint soak_network::engine_link(std::size_t engine) const {
    const auto round = static_cast<unsigned>(engine / numbers_per_part);
    return at(ip(group::engines, engine), engine_port + link_port_distance + round);
}

soak_traffic::testbed::testbed(const soak_plan& plan)
    : network(plan.network), random(seeded_random_hook(plan.seed)), store(context, network.store(), random),
      requests(context, targets(plan, network), plan.requests_per_second, observed, random),
      plain_service_time(plan.plain_service_time), links_before_engines(plan.links_before_engines) {
    store.on_duty([this](const http::request& call) { note_duty(call); });
    for (std::size_t host = 0; host < plan.entry_hosts; ++host) {
        caller_links.push_back(std::make_unique<bench::relay_link>(context, network.host_link(host),
                                                                   network.host_callers(host)));
        store_links.push_back(
            std::make_unique<bench::relay_link>(context, network.store_link(host), network.store()));
    }
}

void soak_traffic::testbed::note_duty(const http::request& call) {
    const std::string* holder = call.headers.find(names::duty_holder);
    const std::string* term = call.headers.find(names::duty_term);
    const json report = json::parse(call.body, nullptr, false);
    const bool well_formed =
        holder != nullptr && term != nullptr && report.is_object() && report.contains("window");
    if (!well_formed) {
        observed.anomalies.push_back("unreadable usage report: " + call.body);
        return;
    }
    observed.usage_reports.push_back({report["window"].get<std::uint64_t>(), call.body});
    observed.orders.push_back({backend_server_id("usage service"), entry_host_id(*holder),
                               fencing_number(std::stoull(*term)), std::chrono::steady_clock::now()});
}

result<void> soak_traffic::testbed::add_engine(const backend_service_id& service,
                                               std::optional<engine_role> role) {
    const std::size_t number = engines.size();
    engine_plan plan;
    plan.id = backend_server_id("i-" + std::to_string(number));
    plan.service = service;
    plan.zone = zone_of(number);
    plan.listen = network.engine(number);
    plan.published = links_before_engines ? network.engine_link(number) : plan.listen;
    plan.plain_service_time = plain_service_time;
    plan.role = role;
    engine_links.push_back(
        std::make_unique<bench::relay_link>(context, network.engine_link(number), plan.listen));
    engines.push_back(std::make_unique<engine_stand_in>(
        context, plan, engine_dependencies{&store, &observed, &caches, random}));
    BOOST_OUTCOME_TRY(engine_links.back()->open());
    return engines.back()->open();
}

void soak_traffic::testbed::configure() {
    ++version;
    observed_configuration configuration;
    configuration.version = config_version(version);
    const caller_id lasting("a");
    const caller_id changing("b");
    json changing_keys = json::array();
    configuration.accounts[std::string(lasting_key)] = lasting;
    for (std::uint64_t age = 0; age < std::min<std::uint64_t>(removed_key_age, version); ++age) {
        const std::string key = changing_key(version - age);
        configuration.accounts[key] = changing;
        changing_keys.push_back(key);
    }
    const json accounts = {{{"name", lasting.str()}, {"api_keys", {lasting_key}}},
                           {{"name", changing.str()}, {"api_keys", changing_keys}}};
    json routes = json::array();
    for (const soak_route& each : soak_routes()) {
        const backend_service_id service =
            each.kind == request_kind::stream ? model_service() : plain_service(version);
        configuration.services[each.id] = service;
        routes.push_back({{"name", each.id.str()},
                          {"host", route_host},
                          {"path_prefix", each.path_prefix},
                          {"kind", kind_text(each.kind)},
                          {"timeout_ms", request_timeout.count()},
                          {"target_latency_ms", request_timeout.count() / 3},
                          {"priority", 1},
                          {"service", service.str()},
                          {"max_attempts", each.max_attempts},
                          {"resumable", each.resumable}});
    }
    const json engine = {
        {"slots", 16}, {"kv_capacity_tokens", 400000}, {"token_kv_bytes", 35136}, {"link_mbps", 100000.0}};
    const json services =
        json::array({{{"name", model_service().str()}, {"max_connections", 300}, {"engine", engine}},
                     {{"name", plain_service(0).str()}, {"max_connections", 300}},
                     {{"name", plain_service(1).str()}, {"max_connections", 300}}});
    const json limits = {{"max_header_bytes", 16384},
                         {"max_body_bytes", 1048576},
                         {"header_timeout_ms", 3000},
                         {"idle_timeout_ms", 15000}};
    store.put(names::config_kind, object_key(std::string(names::newest_config)),
              {{"version", version},
               {"routes", routes},
               {"services", services},
               {"limits", limits},
               {"tenants", accounts}});
    configuration.acknowledged = std::chrono::steady_clock::now();
    observed.configurations.push_back(std::move(configuration));
}

soak_traffic::soak_traffic(const soak_plan& plan)
    : m_plan(plan), m_testbed(std::make_unique<testbed>(plan)),
      m_guard(std::make_unique<asio::executor_work_guard<asio::io_context::executor_type>>(
          asio::make_work_guard(m_testbed->context))) {
}

soak_traffic::~soak_traffic() {
    stop();
}

result<void> soak_traffic::start(kernel& /*host*/) {
    testbed& bed = *m_testbed;
    BOOST_OUTCOME_TRY(bed.store.open());
    for (const auto& each : bed.caller_links) {
        BOOST_OUTCOME_TRY(each->open());
    }
    for (const auto& each : bed.store_links) {
        BOOST_OUTCOME_TRY(each->open());
    }
    for (std::size_t engine = 0; engine < m_plan.model_engines; ++engine) {
        const bool prefills = engine * 3 < m_plan.model_engines;
        BOOST_OUTCOME_TRY(
            bed.add_engine(model_service(), prefills ? engine_role::prefill : engine_role::decode));
    }
    for (std::size_t engine = 0; engine < 2 * m_plan.plain_engines; ++engine) {
        BOOST_OUTCOME_TRY(bed.add_engine(plain_service(engine), std::nullopt));
    }
    bed.configure();
    m_thread = std::thread([&bed] { bed.context.run(); });
    return success();
}

void soak_traffic::stop() {
    if (!m_thread.joinable()) {
        return;
    }
    m_guard.reset();
    m_testbed->context.stop();
    m_thread.join();
}

void soak_traffic::post(std::function<void(testbed&)> task) {
    asio::post(m_testbed->context, [this, task = std::move(task)] { task(*m_testbed); });
}

void soak_traffic::run(const std::function<void(testbed&)>& task) {
    std::promise<void> done;
    post([&](testbed& bed) {
        task(bed);
        done.set_value();
    });
    done.get_future().wait();
}

} // namespace parsleypitch::soak
