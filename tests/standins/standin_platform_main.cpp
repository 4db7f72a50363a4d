// Platform: log, host list and weight store of design.md 7.2.
// POST /standin/hosts {hosts:[{host, address, role, state, incarnation}]} changes the host list;
// the state "gone" takes a host off it.
#include <gflags/gflags.h>

#include "standins/platform_model.h"
#include "standins/standin_server.h"

DEFINE_string(address, "127.0.0.1:0", "ip:port to listen on; port 0 picks a free one");
DEFINE_int64(retention_ms, 24 * 3600 * 1000, "how long log records are retained");
DEFINE_int32(host_list_lag_ms, 0, "time until a change shows in the host list");
DEFINE_double(appends_per_second, 0, "limit of log appends; 0 for none");
DEFINE_double(weight_loads_per_second, 0, "limit of weight loads; 0 for none");
DEFINE_int32(append_us, 0, "time that an append takes, in microseconds");

namespace fescuedeck::standins {
namespace {

constexpr int defaultPageSize = 1000;

platform_options optionsFromFlags()
{
    platform_options options;
    options.retention = unix_millis(FLAGS_retention_ms);
    options.hostListLag = std::chrono::milliseconds(FLAGS_host_list_lag_ms);
    options.appendsPerSecond = FLAGS_appends_per_second;
    options.weightLoadsPerSecond = FLAGS_weight_loads_per_second;
    return options;
}

// "control" of "/log/control/append".
std::string streamOf(const std::string &path)
{
    const std::size_t begin = std::string("/log/").size();
    return path.substr(begin, path.rfind('/') - begin);
}

bool endsWith(const std::string &text, const std::string &suffix)
{
    return text.size() >= suffix.size()
           && text.compare(text.size() - suffix.size(), suffix.size(), suffix) == 0;
}

http_response limited()
{
    http_response response = jsonResponse(429, { { "error", "rate_limited" } });
    response.headers.push_back({ "Retry-After", "1" });
    return response;
}

class platform_program
{
public:
    int run()
    {
        m_server.onSetting = [this](const fault_rule &rule) {
            if (rule.kind == fault_kind::HostListLag)
                m_platform.setHostListLag(std::chrono::milliseconds(rule.delayMs));
        };
        m_server.addRoute("POST", "/log/", [this](http_exchange &call) { return append(call); });
        m_server.addRoute("GET", "/log/", [this](http_exchange &call) { return read(call); });
        m_server.addRoute("GET", "/hosts", [this](http_exchange &) {
            return jsonResponse(200, m_platform.hosts(steadyNow()));
        });
        m_server.addRoute("GET", "/weights/", [this](http_exchange &) {
            return m_platform.takeWeightLoad(steadyNow()) ? http_response{ 200, {}, "weights" }
                                                          : limited();
        });
        m_server.addRoute("POST", "/standin/hosts",
                          [this](http_exchange &call) { return setHosts(call.request()); });
        m_server.addRoute("GET", "/healthz", [](http_exchange &) {
            return jsonResponse(200, { { "status", "ok" } });
        });
        return m_server.run(FLAGS_address);
    }

private:
    http_response append(http_exchange &exchange)
    {
        const std::string path = pathOf(exchange.request().target);
        if (!endsWith(path, "/append"))
            return jsonResponse(404, { { "error", "no such path: " + path } });
        if (FLAGS_append_us > 0)
            wait_list(m_ioContext).wait(duration(FLAGS_append_us), exchange.yield());
        const auto message = nlohmann::json::parse(exchange.request().body);
        const auto offsets
                = m_platform.append(streamOf(path), message.at("records"), steadyNow(), wallNow());
        if (!offsets)
            return limited();
        m_appended.notifyAll();
        return jsonResponse(200, { { "offsets", *offsets } });
    }

    http_response read(http_exchange &exchange)
    {
        const std::string target = exchange.request().target;
        const std::string stream = streamOf(pathOf(target));
        const auto from = std::stoll("0" + queryValue(target, "from", "0"));
        const int limit
                = std::stoi("0" + queryValue(target, "limit", std::to_string(defaultPageSize)));
        const std::chrono::milliseconds wait(std::stoi("0" + queryValue(target, "wait_ms", "0")));
        const time_point deadline = steadyNow() + wait;
        while (m_platform.nextOffset(stream) <= from && steadyNow() < deadline)
            m_appended.wait(deadline - steadyNow(), exchange.yield());
        return jsonResponse(200, m_platform.read(stream, from, limit, wallNow()));
    }

    http_response setHosts(const http_request &request)
    {
        const auto message = nlohmann::json::parse(request.body);
        for (const auto &item : message.at("hosts")) {
            listed_host host;
            host.host = item.at("host").get<std::string>();
            host.address = item.at("address").get<std::string>();
            host.role = item.at("role").get<std::string>();
            host.state = item.at("state").get<std::string>();
            host.incarnation = item.value("incarnation", std::string());
            m_platform.setHost(host, steadyNow());
        }
        return jsonResponse(200, nlohmann::json::object());
    }

    boost::asio::io_context m_ioContext{ 1 };
    standin_server m_server{ m_ioContext };
    platform_model m_platform{ optionsFromFlags() };
    wait_list m_appended{ m_ioContext };
};

} // namespace
} // namespace fescuedeck::standins

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return fescuedeck::standins::platform_program().run();
}
