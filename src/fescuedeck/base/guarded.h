// A value with the mutex that guards it. The value is reachable only while the mutex is held.
#ifndef FESCUEDECK_BASE_GUARDED_H
#define FESCUEDECK_BASE_GUARDED_H

#include <mutex>
#include <utility>

#include "fescuedeck/base/ranked_mutex.h"

namespace fescuedeck {

template <class T>
class guarded
{
public:
    template <class... Arguments>
    explicit guarded(lock_rank rank, Arguments &&...arguments)
        : m_mutex(rank), m_value(std::forward<Arguments>(arguments)...)
    {
    }

    // Calls use with the value while the mutex is held and returns its result. use must not wait,
    // send, or keep a reference to the value.
    template <class Function>
    auto with(Function &&use)
    {
        const std::lock_guard lock(m_mutex);
        return std::forward<Function>(use)(m_value);
    }
    template <class Function>
    auto with(Function &&use) const
    {
        const std::lock_guard lock(m_mutex);
        return std::forward<Function>(use)(m_value);
    }

private:
    mutable ranked_mutex m_mutex;
    T m_value;
};

} // namespace fescuedeck

#endif
