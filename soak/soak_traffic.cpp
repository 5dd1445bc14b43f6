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
// A run has a block of addresses 127.A.B.1 to 127.A.B+3.250; those of its number repeat after 250 x 50 runs.
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
    std::vector<caller_target> all;
    for (std::size_t host = 0; host < plan.entry_hosts; ++host) {
        all.push_back({host_id(host), network.host_link(host), network.host_readiness(host)});
    }
    return all;
}

const char* kind_word(request_kind kind) {
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

std::string soak_network::ip(group of, std::size_t number) const {
    const unsigned block = m_number / numbers_per_part % blocks_per_part;
    const unsigned third = block * static_cast<unsigned>(group::count) + static_cast<unsigned>(of);
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
    const auto turn = static_cast<unsigned>(engine / numbers_per_part);
    return at(ip(group::engines, engine), engine_port + turn);
}

endpoint soak_network::engine_link(std::size_t engine) const {
    const auto turn = static_cast<unsigned>(engine / numbers_per_part);
    return at(ip(group::engines, engine), engine_port + link_port_distance + turn);
}

soak_traffic::world::world(const soak_plan& plan)
    : network(plan.network), random(seeded_random_hook(plan.seed)), store(context, network.store(), random),
      requests(context, targets(plan, network), plan.requests_per_second, seen, random),
      plain_work(plan.plain_work), links_before_engines(plan.links_before_engines) {
    for (std::size_t host = 0; host < plan.entry_hosts; ++host) {
        caller_links.push_back(std::make_unique<bench::relay_link>(context, network.host_link(host),
                                                                   network.host_callers(host)));
        store_links.push_back(
            std::make_unique<bench::relay_link>(context, network.store_link(host), network.store()));
    }
}

result<void> soak_traffic::world::add_engine(const backend_service_id& service,
                                             std::optional<engine_role> role) {
    const std::size_t number = engines.size();
    engine_plan plan;
    plan.id = backend_server_id("i-" + std::to_string(number));
    plan.service = service;
    plan.zone = zone_of(number);
    plan.listen = network.engine(number);
    plan.published = links_before_engines ? network.engine_link(number) : plan.listen;
    plan.plain_work = plain_work;
    plan.role = role;
    engine_links.push_back(
        std::make_unique<bench::relay_link>(context, network.engine_link(number), plan.listen));
    engines.push_back(std::make_unique<engine_stand_in>(context, plan,
                                                        engine_surroundings{&store, &seen, &caches, random}));
    BOOST_OUTCOME_TRY(engine_links.back()->open());
    return engines.back()->open();
}

void soak_traffic::world::configure() {
    ++version;
    observed_configuration noted;
    noted.version = config_version(version);
    json routes = json::array();
    for (const soak_route& each : soak_routes()) {
        const backend_service_id service =
            each.kind == request_kind::stream ? model_service() : plain_service(version);
        noted.services[each.id] = service;
        routes.push_back({{"name", each.id.str()},
                          {"host", route_host},
                          {"path_prefix", each.path_prefix},
                          {"kind", kind_word(each.kind)},
                          {"timeout_ms", caller_patience.count()},
                          {"target_latency_ms", caller_patience.count() / 3},
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
              {{"version", version}, {"routes", routes}, {"services", services}, {"limits", limits}});
    noted.acknowledged = std::chrono::steady_clock::now();
    seen.configurations.push_back(std::move(noted));
}

soak_traffic::soak_traffic(const soak_plan& plan)
    : m_plan(plan), m_world(std::make_unique<world>(plan)),
      m_guard(std::make_unique<asio::executor_work_guard<asio::io_context::executor_type>>(
          asio::make_work_guard(m_world->context))) {
}

soak_traffic::~soak_traffic() {
    stop();
}

result<void> soak_traffic::start(kernel& /*host*/) {
    world& all = *m_world;
    BOOST_OUTCOME_TRY(all.store.open());
    for (const auto& each : all.caller_links) {
        BOOST_OUTCOME_TRY(each->open());
    }
    for (const auto& each : all.store_links) {
        BOOST_OUTCOME_TRY(each->open());
    }
    for (std::size_t engine = 0; engine < m_plan.model_engines; ++engine) {
        const bool reads = engine * 3 < m_plan.model_engines;
        BOOST_OUTCOME_TRY(
            all.add_engine(model_service(), reads ? engine_role::prefill : engine_role::decode));
    }
    for (std::size_t engine = 0; engine < 2 * m_plan.plain_engines; ++engine) {
        BOOST_OUTCOME_TRY(all.add_engine(plain_service(engine), std::nullopt));
    }
    all.configure();
    m_thread = std::thread([&all] { all.context.run(); });
    return success();
}

void soak_traffic::stop() {
    if (!m_thread.joinable()) {
        return;
    }
    m_guard.reset();
    m_world->context.stop();
    m_thread.join();
}

void soak_traffic::post(std::function<void(world&)> task) {
    asio::post(m_world->context, [this, task = std::move(task)] { task(*m_world); });
}

void soak_traffic::run(const std::function<void(world&)>& task) {
    std::promise<void> done;
    post([&](world& all) {
        task(all);
        done.set_value();
    });
    done.get_future().wait();
}

} // namespace parsleypitch::soak
