#include "fescuedeck/net/connection_places.h"

#include <utility>

namespace fescuedeck::detail {

void connection_places::add(connection_number number, const std::string &host)
{
    host_places &places = m_hosts[host];
    ++places.connections;
    m_places[number] = { &places, host, std::nullopt, {} };
}

void connection_places::remove(connection_number number)
{
    const auto found = m_places.find(number);
    if (found == m_places.end())
        return;
    place &removed = found->second;
    stopWaiting(removed);
    if (--removed.host->connections == 0)
        m_hosts.erase(removed.hostName);
    m_places.erase(found);
}

void connection_places::setPhase(connection_number number, connection_phase phase, time_point now)
{
    const auto found = m_places.find(number);
    if (found == m_places.end())
        return;
    place &changed = found->second;
    stopWaiting(changed);
    if (phase == connection_phase::Handling)
        return;
    waiting_list &list = changed.host->waiting.at(static_cast<std::size_t>(phase));
    changed.waitsIn = phase;
    changed.position = list.insert(list.end(), { number, now });
}

void connection_places::noteProgress(connection_number number, time_point now)
{
    const auto found = m_places.find(number);
    if (found != m_places.end() && found->second.waitsIn)
        setPhase(number, *found->second.waitsIn, now);
}

std::optional<connection_places::connection_number>
connection_places::takeFor(const std::string &host, time_point now)
{
    const auto own = m_hosts.find(host);
    const std::size_t ownConnections = own == m_hosts.end() ? 0 : own->second.connections;
    const waiting_connection *best = nullptr;
    std::size_t bestConnections = 0;
    for (const auto &[name, places] : m_hosts) {
        if (places.connections < ownConnections || places.connections <= bestConnections)
            continue;
        // Afterwards it still has as many as the host of the new connection.
        const bool hasMoreThanShare = places.connections > ownConnections + 1;
        const waiting_connection *candidate = candidateOf(places, hasMoreThanShare, now);
        if (candidate == nullptr)
            continue;
        best = candidate;
        bestConnections = places.connections;
    }
    if (best == nullptr)
        return std::nullopt;
    const connection_number taken = best->number;
    stopWaiting(m_places.at(taken));
    return taken;
}

const connection_places::waiting_connection *
connection_places::candidateOf(const host_places &host, bool hasMoreThanShare, time_point now)
{
    for (std::size_t phase = 0; phase < waitingPhases; ++phase) {
        const waiting_list &list = host.waiting.at(phase);
        if (list.empty())
            continue;
        const bool isReading = phase == static_cast<std::size_t>(connection_phase::Reading);
        const bool isStalled = now - list.front().since >= minStall;
        if (!isReading || hasMoreThanShare || isStalled)
            return &list.front();
    }
    return nullptr;
}

void connection_places::stopWaiting(place &of)
{
    if (!of.waitsIn)
        return;
    of.host->waiting.at(static_cast<std::size_t>(*of.waitsIn)).erase(of.position);
    of.waitsIn.reset();
}

} // namespace fescuedeck::detail
