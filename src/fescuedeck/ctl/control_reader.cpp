#include "fescuedeck/ctl/control_reader.h"

#include <algorithm>

#include "fescuedeck/base/ids.h"

namespace fescuedeck {
namespace {

constexpr duration callTimeout = std::chrono::seconds(3);
constexpr duration retryPause = std::chrono::milliseconds(200);

bool isTransient(const failure &error)
{
    return error.code != errc::InvalidRequest && error.code != errc::TooLarge;
}

// Repeats a call until it succeeds, fails for good, or the deadline has passed.
template <class Call>
auto retry(const ctl_hooks &hooks, time_point deadline, Call call) -> decltype(call(duration()))
{
    while (true) {
        const duration remaining = std::max(deadline - hooks.now(), duration(1));
        auto answer = call(std::min(callTimeout, remaining));
        if (answer || !isTransient(answer.error()) || hooks.now() + retryPause >= deadline)
            return answer;
        hooks.sleep(retryPause);
    }
}

failure unavailable(const failure &cause)
{
    return isTransient(cause) ? makeFailure(errc::LogUnavailable, cause.detail) : cause;
}

} // namespace

result<void> readToEnd(const ctl_hooks &hooks, control_state &state, time_point deadline)
{
    while (true) {
        const auto page = retry(hooks, deadline, [&](duration timeout) {
            return hooks.read(state.nextOffset(), timeout);
        });
        if (!page)
            return unavailable(page.error());
        if (!page.value().records.empty()) {
            applyPage(state, page.value().records);
            continue;
        }
        if (state.isComplete())
            return boost::outcome_v2::success();
        state.skipMissingRecords(page.value().first);
    }
}

result<std::vector<std::int64_t>> appendRecords(const ctl_hooks &hooks,
                                                const std::vector<control_record> &bodies,
                                                time_point deadline)
{
    std::vector<log_record> records;
    for (const control_record &body : bodies) {
        log_record record;
        record.id = makeUuidV7(hooks.wallNow(), hooks.random);
        record.body = recordBody(body);
        records.push_back(record);
    }
    auto offsets = retry(hooks, deadline,
                         [&](duration timeout) { return hooks.append(records, timeout); });
    if (!offsets)
        return unavailable(offsets.error());
    return offsets;
}

} // namespace fescuedeck
