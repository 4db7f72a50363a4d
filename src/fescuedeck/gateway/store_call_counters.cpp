#include "fescuedeck/gateway/store_call_counters.h"

#include <string>
#include <utility>

namespace fescuedeck {
namespace {

template <class... Arguments, class Result>
std::function<Result(Arguments...)> counted(std::function<Result(Arguments...)> call,
                                            const std::string &name, metrics &counters)
{
    if (!call)
        return call;
    return [call = std::move(call), name, &counters](Arguments... arguments) {
        Result outcome = call(std::forward<Arguments>(arguments)...);
        bool isSuccess = false;
        if constexpr (std::is_same_v<Result, std::optional<failure>>)
            isSuccess = !outcome.has_value();
        else
            isSuccess = outcome.has_value();
        counters.counterOf("fescuedeck_store_calls_total",
                           { { "call", name }, { "outcome", isSuccess ? "ok" : "failed" } })
                .add();
        return outcome;
    };
}

} // namespace

store_hooks countStoreCalls(store_hooks store, metrics &counters)
{
    store.readNewest = counted(std::move(store.readNewest), "read_newest", counters);
    store.readFrom = counted(std::move(store.readFrom), "read_from", counters);
    store.write = counted(std::move(store.write), "write", counters);
    store.joinLease = counted(std::move(store.joinLease), "join_lease", counters);
    store.leaveLease = counted(std::move(store.leaveLease), "leave_lease", counters);
    return store;
}

} // namespace fescuedeck
