#include "fescuedeck/ctl/network_hooks.h"

#include <memory>
#include <random>

#include <boost/asio/steady_timer.hpp>

#include "fescuedeck/clients/log_client.h"

namespace fescuedeck {
namespace {

constexpr const char *controlStream = "control";
// A page of bundles of the planned size stays within the client's response limit.
constexpr int pageLimit = 32;

std::vector<log_append> toAppends(const std::vector<log_record> &records)
{
    std::vector<log_append> appends;
    for (const log_record &record : records)
        appends.push_back({ record.id, record.body });
    return appends;
}

control_page toControlPage(const log_page &page)
{
    return { page.records, page.first };
}

} // namespace

ctl_hooks makeNetworkHooks(boost::asio::io_context &ioContext, http_client &client,
                           const std::string &platform, boost::asio::yield_context yield)
{
    const auto log = std::make_shared<log_client>(client, platform);
    ctl_hooks hooks;
    hooks.append = [log, yield](const std::vector<log_record> &records, duration timeout) {
        return log->append(controlStream, toAppends(records), timeout, yield);
    };
    hooks.read = [log, yield](std::int64_t from, duration timeout) -> result<control_page> {
        const auto page = log->read(controlStream, from, pageLimit, duration(0), timeout, yield);
        if (!page)
            return page.error();
        return toControlPage(page.value());
    };
    hooks.call = [&client, yield](const std::string &address, const http_request &request,
                                  duration timeout) {
        call_options options;
        options.timeout = timeout;
        return client.send(address, request, options, yield).response;
    };
    hooks.sleep = [&ioContext, yield](duration time) {
        boost::asio::steady_timer timer(ioContext, time);
        timer.async_wait(yield);
    };
    hooks.now = steadyNow;
    hooks.wallNow = wallNow;
    std::random_device device;
    hooks.random = seededRandom((static_cast<std::uint64_t>(device()) << 32U) | device());
    return hooks;
}

} // namespace fescuedeck
