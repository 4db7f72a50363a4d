// A memory limit for all response bodies that are collected at the same time.
//
// Once it is exceeded, only the bodies that are larger than an equal share of it must end. So a
// server that sends without end does not use up the memory that other calls need.
#ifndef FESCUEDECK_NET_COLLECTED_BODIES_H
#define FESCUEDECK_NET_COLLECTED_BODIES_H

#include <atomic>
#include <cstddef>

namespace fescuedeck::detail {

// Thread-safe. Must outlive the bodies that it counts.
class collected_bodies
{
public:
    // limit is in bytes.
    explicit collected_bodies(std::size_t limit)
        : m_limit(limit)
    {
    }

private:
    friend class collected_body;

    const std::size_t m_limit;
    std::atomic<std::size_t> m_bytes{ 0 };
    std::atomic<std::size_t> m_count{ 0 };
};

// The bytes of one body, which count while this object lives. Not thread-safe.
class collected_body
{
public:
    explicit collected_body(collected_bodies &all)
        : m_all(all)
    {
        ++m_all.m_count;
    }
    ~collected_body()
    {
        m_all.m_bytes -= m_size;
        --m_all.m_count;
    }
    collected_body(const collected_body &) = delete;
    collected_body &operator=(const collected_body &) = delete;

    // Sets the size of the body in bytes. Returns whether the body may grow further.
    bool resize(std::size_t size)
    {
        m_all.m_bytes += size;
        m_all.m_bytes -= m_size;
        m_size = size;
        return m_all.m_bytes <= m_all.m_limit || m_size <= m_all.m_limit / m_all.m_count;
    }

private:
    collected_bodies &m_all;
    std::size_t m_size = 0;
};

} // namespace fescuedeck::detail

#endif
