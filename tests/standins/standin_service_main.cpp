// Desk service: POST .../signatures and .../reservations, GET .../signatures/<id>,
// .../reservations/<id> and .../stock/<lot> below any prefix, GET /standin/counts. POST
// /standin/leave makes it leave: calls are then rejected before they have an effect.
#include <random>

#include <gflags/gflags.h>

#include "fescuedeck/base/ids.h"
#include "standins/service_model.h"
#include "standins/standin_server.h"

DEFINE_string(address, "127.0.0.1:0", "ip:port to listen on; port 0 picks a free one");
DEFINE_int32(service_us, 0, "time that each call takes, in microseconds");

namespace fescuedeck::standins {
namespace {

struct resource
{
    std::string collection;
    std::string id; // empty for the collection itself
};

// The last two segments of "/desk/signatures/w-17" or the last one of "/desk/signatures".
resource resourceOf(const std::string &path)
{
    for (const std::string collection : { "signatures", "reservations", "stock" }) {
        const std::size_t found = path.rfind("/" + collection);
        if (found == std::string::npos)
            continue;
        const std::string rest = path.substr(found + 1 + collection.size());
        if (rest.empty() || rest.front() == '/')
            return { collection, rest.empty() ? "" : rest.substr(1) };
    }
    return {};
}

class service_program
{
public:
    int run()
    {
        m_server.addRoute("GET", "/standin/counts",
                          [this](http_exchange &) { return jsonResponse(200, m_desk.counts()); });
        m_server.addRoute("POST", "/standin/leave", [this](http_exchange &) {
            m_isLeaving = true;
            return jsonResponse(200, nlohmann::json::object());
        });
        m_server.addRoute("GET", "/healthz", [this](http_exchange &) {
            return jsonResponse(m_isLeaving ? 503 : 200,
                                { { "incarnation", m_incarnation },
                                  { "state", m_isLeaving ? "leaving" : "serving" } });
        });
        m_server.addRoute("POST", "/", [this](http_exchange &call) { return write(call); });
        m_server.addRoute("GET", "/", [this](http_exchange &call) { return read(call); });
        return m_server.run(FLAGS_address);
    }

private:
    void takeTime(http_exchange &exchange)
    {
        if (FLAGS_service_us > 0)
            wait_list(m_ioContext).wait(duration(FLAGS_service_us), exchange.yield());
    }

    http_response write(http_exchange &exchange)
    {
        const http_request &request = exchange.request();
        const resource target = resourceOf(pathOf(request.target));
        if (m_isLeaving)
            return jsonResponse(503, { { "error", "leaving" } });
        if (target.collection.empty() || target.collection == "stock" || !target.id.empty())
            return jsonResponse(404, { { "error", "no such collection" } });
        takeTime(exchange);
        const std::string *key = findHeader(request.headers, "Idempotency-Key");
        const service_answer answer
                = m_desk.record(target.collection, nlohmann::json::parse(request.body),
                                key == nullptr ? "" : *key, wallNow());
        return jsonResponse(answer.status, answer.body);
    }

    http_response read(http_exchange &exchange)
    {
        const resource target = resourceOf(pathOf(exchange.request().target));
        if (m_isLeaving)
            return jsonResponse(503, { { "error", "leaving" } });
        if (target.id.empty())
            return jsonResponse(404, { { "error", "no such record" } });
        takeTime(exchange);
        const service_answer answer = target.collection == "stock"
                                              ? m_desk.stock(target.id, wallNow())
                                              : m_desk.lookUp(target.collection, target.id);
        return jsonResponse(answer.status, answer.body);
    }

    boost::asio::io_context m_ioContext{ 1 };
    standin_server m_server{ m_ioContext };
    service_model m_desk;
    const std::string m_incarnation = randomHex(8, seededRandom(std::random_device()()));
    bool m_isLeaving = false;
};

} // namespace
} // namespace fescuedeck::standins

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return fescuedeck::standins::service_program().run();
}
