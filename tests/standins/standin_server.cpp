#include "standins/standin_server.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <limits>

#include <boost/asio/signal_set.hpp>

#include "standins/own_sockets.h"

namespace fescuedeck::standins {
namespace {

constexpr int crashStatus = 70;
constexpr char controlPrefix[] = "/standin/faults";

bool startsWith(const std::string &text, const std::string &prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

bool isControl(const std::string &path)
{
    return startsWith(path, "/standin/");
}

bool changesSetting(fault_kind kind)
{
    return kind == fault_kind::HostListLag || kind == fault_kind::Slowdown;
}

http_response refusalResponse(const fault_rule &rule)
{
    http_response response = jsonResponse(rule.status, { { "error", rule.error } });
    response.headers.push_back({ "Retry-After", "1" });
    return response;
}

} // namespace

void wait_list::wait(duration limit, const boost::asio::yield_context &yield)
{
    boost::asio::steady_timer timer(m_ioContext, limit);
    const auto position = m_waiting.insert(m_waiting.end(), &timer);
    boost::system::error_code cancelled;
    timer.async_wait(yield[cancelled]);
    m_waiting.erase(position);
}

void wait_list::notifyAll()
{
    for (boost::asio::steady_timer *timer : m_waiting)
        timer->cancel();
}

http_response jsonResponse(int status, const nlohmann::json &body)
{
    return { status, { { "Content-Type", "application/json" } }, body.dump() };
}

std::string pathOf(const std::string &target)
{
    return target.substr(0, target.find('?'));
}

std::string queryValue(const std::string &target, const std::string &name,
                       const std::string &fallback)
{
    std::size_t begin = target.find('?');
    while (begin != std::string::npos) {
        const std::size_t end = target.find('&', begin + 1);
        const std::string item = target.substr(begin + 1, end - begin - 1);
        if (startsWith(item, name + "="))
            return item.substr(name.size() + 1);
        begin = end;
    }
    return fallback;
}

standin_server::standin_server(boost::asio::io_context &ioContext)
    : markerText([](const http_request &request) { return request.body; })
    , m_ioContext(ioContext)
    , m_server(ioContext, {}, [this](http_exchange &exchange) { handle(exchange); })
{
}

void standin_server::addRoute(std::string method, std::string pathPrefix, route_handler handler)
{
    m_routes.push_back({ std::move(method), std::move(pathPrefix), std::move(handler) });
}

int standin_server::run(const std::string &address)
{
    const std::error_code error = m_server.listen(address);
    if (error) {
        std::fprintf(stderr, "cannot listen on %s: %s\n", address.c_str(), error.message().c_str());
        return 1;
    }
    const std::string host = address.substr(0, address.rfind(':'));
    std::printf("listening %s:%d\n", host.c_str(), static_cast<int>(m_server.port()));
    std::fflush(stdout);
    boost::asio::signal_set signals(m_ioContext, SIGTERM, SIGINT);
    signals.async_wait([this](const boost::system::error_code &, int) { m_ioContext.stop(); });
    m_ioContext.run();
    // Calls that hang on purpose are not unwound.
    std::_Exit(0);
}

void standin_server::handle(http_exchange &exchange)
{
    const std::string path = pathOf(exchange.request().target);
    waitWhileFrozen(exchange);
    if (startsWith(path, controlPrefix)) {
        handleControl(exchange);
        return;
    }
    if (isControl(path)) {
        exchange.respond(callRoute(exchange));
        return;
    }
    if (m_silentCallers.count(exchange.callerAddress()) > 0)
        hang(exchange);
    const auto rules = m_faults.match(path, markerText(exchange.request()));
    if (!applyBefore(rules, exchange))
        return;
    http_response response = callRoute(exchange);
    if (!applyAfter(rules, exchange, &response))
        return;
    waitWhileFrozen(exchange);
    if (m_silentCallers.count(exchange.callerAddress()) > 0)
        hang(exchange);
    m_lastAnswers[path] = { response, steadyNow() };
    exchange.respond(response);
}

void standin_server::handleControl(http_exchange &exchange)
{
    const http_request &request = exchange.request();
    if (request.method == "POST") {
        exchange.respond(addFaults(request.body, exchange.callerAddress()));
        return;
    }
    if (request.method == "DELETE") {
        m_faults.clear();
        m_silentCallers.clear();
    }
    exchange.respond(jsonResponse(200, { { "faults", m_faults.status() } }));
}

http_response standin_server::addFaults(const std::string &body, const std::string &caller)
{
    const nlohmann::json message = nlohmann::json::parse(body, nullptr, false);
    if (!message.is_object() || !message.contains("faults"))
        return jsonResponse(400, { { "error", "the body needs a list faults" } });
    std::vector<fault_rule> rules;
    for (const auto &item : message["faults"]) {
        const auto rule = parseFaultRule(item);
        if (!rule)
            return jsonResponse(400, { { "error", rule.error().detail } });
        rules.push_back(rule.value());
    }
    for (const fault_rule &rule : rules)
        addFault(rule, caller);
    return jsonResponse(200, { { "faults", m_faults.status() } });
}

void standin_server::addFault(const fault_rule &rule, const std::string &caller)
{
    if (changesSetting(rule.kind)) {
        if (onSetting)
            onSetting(rule);
    } else if (rule.kind == fault_kind::SilentConnections) {
        const auto peers = connectedPeers(m_server.port());
        m_silentCallers.insert(peers.begin(), peers.end());
        m_silentCallers.erase(caller);
    } else {
        m_faults.add(rule);
    }
}

http_response standin_server::callRoute(http_exchange &exchange)
{
    const http_request &request = exchange.request();
    const std::string path = pathOf(request.target);
    for (const route &candidate : m_routes) {
        if (candidate.method != request.method || !startsWith(path, candidate.pathPrefix))
            continue;
        try {
            return candidate.handler(exchange);
        } catch (const nlohmann::json::exception &error) {
            return jsonResponse(400, { { "error", "invalid_input" }, { "detail", error.what() } });
        }
    }
    return jsonResponse(404, { { "error", "no such path: " + request.method + " " + path } });
}

bool standin_server::applyBefore(const std::vector<fault_rule> &rules, http_exchange &exchange)
{
    for (const fault_rule &rule : rules) {
        if (rule.kind == fault_kind::Crash && !rule.afterEffect)
            std::_Exit(crashStatus);
        if (rule.kind == fault_kind::Freeze)
            freeze(rule.delayMs);
        if (rule.kind == fault_kind::Silence)
            hang(exchange);
        if (rule.kind == fault_kind::Delay && !rule.afterEffect)
            sleep(std::chrono::milliseconds(rule.delayMs), exchange);
        if (rule.kind == fault_kind::Refuse) {
            exchange.respond(refusalResponse(rule));
            return false;
        }
    }
    waitWhileFrozen(exchange);
    return true;
}

bool standin_server::applyAfter(const std::vector<fault_rule> &rules, http_exchange &exchange,
                                http_response *response)
{
    for (const fault_rule &rule : rules) {
        if (rule.kind == fault_kind::Crash)
            std::_Exit(crashStatus);
        if (rule.kind == fault_kind::Delay && rule.afterEffect)
            sleep(std::chrono::milliseconds(rule.delayMs), exchange);
        if (rule.kind == fault_kind::CrossedAnswer)
            *response = cross(*response, exchange);
        if (rule.kind == fault_kind::StaleAnswer)
            *response = staleAnswer(rule, pathOf(exchange.request().target), *response);
        if (rule.kind == fault_kind::LostAnswer) {
            shutDownConnection(m_server.port(), exchange.callerAddress());
            return false;
        }
    }
    return true;
}

http_response standin_server::cross(const http_response &own, http_exchange &exchange)
{
    if (m_crossing) {
        const auto waiting = std::exchange(m_crossing, nullptr);
        waiting->other = own;
        waiting->arrived.notifyAll();
        return waiting->own;
    }
    const auto first = std::make_shared<crossing>(m_ioContext);
    first->own = own;
    m_crossing = first;
    while (!first->other)
        first->arrived.wait(withoutLimit, exchange.yield());
    return *first->other;
}

http_response standin_server::staleAnswer(const fault_rule &rule, const std::string &path,
                                          const http_response &own)
{
    const auto last = m_lastAnswers.find(path);
    http_response response = last == m_lastAnswers.end() ? own : last->second.response;
    duration age = std::chrono::milliseconds(rule.delayMs);
    if (last != m_lastAnswers.end())
        age = std::max(age, duration(steadyNow() - last->second.at));
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(age).count();
    response.headers.push_back({ "Age", std::to_string(seconds) });
    return response;
}

void standin_server::freeze(int milliseconds)
{
    m_frozenUntil = steadyNow()
                    + (milliseconds > 0 ? duration(std::chrono::milliseconds(milliseconds))
                                        : withoutLimit);
}

void standin_server::waitWhileFrozen(http_exchange &exchange)
{
    while (steadyNow() < m_frozenUntil)
        sleep(m_frozenUntil - steadyNow(), exchange);
}

void standin_server::hang(http_exchange &exchange)
{
    for (;;)
        sleep(withoutLimit, exchange);
}

void standin_server::sleep(duration time, http_exchange &exchange)
{
    wait_list(m_ioContext).wait(time, exchange.yield());
}

} // namespace fescuedeck::standins
