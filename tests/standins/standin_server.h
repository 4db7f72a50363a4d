// HTTP front of the stand-in programs: routes, scripted faults, the line that tells the port, and
// the end on SIGTERM.
//
// Paths below /standin/ control the stand-in and never meet a fault:
//   POST /standin/faults {faults:[rule]} adds rules (fields in fault_script.h), GET lists them with
//   the number of calls that each was applied to, DELETE takes back all faults.
// Everything runs on one thread, so handlers need no locks between waits.
#ifndef FESCUEDECK_STANDINS_STANDIN_SERVER_H
#define FESCUEDECK_STANDINS_STANDIN_SERVER_H

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "fescuedeck/base/time.h"
#include "fescuedeck/net/http_message.h"
#include "fescuedeck/net/http_server.h"
#include "standins/fault_script.h"

namespace fescuedeck::standins {

// Coroutines of one thread that wait for the same event.
class wait_list
{
public:
    explicit wait_list(boost::asio::io_context &ioContext)
        : m_ioContext(ioContext)
    {
    }

    // Returns when notifyAll() is called or the limit has passed.
    void wait(duration limit, const boost::asio::yield_context &yield);
    void notifyAll();

private:
    boost::asio::io_context &m_ioContext;
    std::list<boost::asio::steady_timer *> m_waiting;
};

// A limit that no test reaches.
constexpr duration withoutLimit = std::chrono::hours(24 * 365);

http_response jsonResponse(int status, const nlohmann::json &body);
// Path and query parameter of a target such as "/log/control/records?from=3".
std::string pathOf(const std::string &target);
std::string queryValue(const std::string &target, const std::string &name,
                       const std::string &fallback);

class standin_server
{
public:
    using route_handler = std::function<http_response(http_exchange &)>;

    explicit standin_server(boost::asio::io_context &ioContext);

    // The first route whose method and path prefix match gets the call. A JSON exception in a
    // handler gives status 400.
    void addRoute(std::string method, std::string pathPrefix, route_handler handler);
    // Text in which fault rules look for their marker; the body by default.
    std::function<std::string(const http_request &)> markerText;
    // Gets the rules that change a setting when they are posted: host_list_lag and slowdown.
    std::function<void(const fault_rule &)> onSetting;

    // Listens on ip:port, prints "listening <ip>:<port>" and serves until SIGTERM or SIGINT.
    // Returns the exit status if the address cannot be used and ends the process otherwise.
    int run(const std::string &address);

private:
    struct route
    {
        std::string method;
        std::string pathPrefix;
        route_handler handler;
    };
    struct given_answer
    {
        http_response response;
        time_point at;
    };
    struct crossing
    {
        explicit crossing(boost::asio::io_context &ioContext)
            : arrived(ioContext)
        {
        }
        http_response own;
        std::optional<http_response> other;
        wait_list arrived;
    };

    void handle(http_exchange &exchange);
    void handleControl(http_exchange &exchange);
    http_response addFaults(const std::string &body, const std::string &caller);
    void addFault(const fault_rule &rule, const std::string &caller);
    http_response callRoute(http_exchange &exchange);
    // False if the call gets no answer or has been answered.
    bool applyBefore(const std::vector<fault_rule> &rules, http_exchange &exchange);
    bool applyAfter(const std::vector<fault_rule> &rules, http_exchange &exchange,
                    http_response *response);
    http_response cross(const http_response &own, http_exchange &exchange);
    http_response staleAnswer(const fault_rule &rule, const std::string &path,
                              const http_response &own);
    void freeze(int milliseconds);
    void waitWhileFrozen(http_exchange &exchange);
    void hang(http_exchange &exchange);
    void sleep(duration time, http_exchange &exchange);

    boost::asio::io_context &m_ioContext;
    http_server m_server;
    std::vector<route> m_routes;
    fault_script m_faults;
    time_point m_frozenUntil;
    std::set<std::string> m_silentCallers;
    std::map<std::string, given_answer> m_lastAnswers; // by path
    std::shared_ptr<crossing> m_crossing;
};

} // namespace fescuedeck::standins

#endif
