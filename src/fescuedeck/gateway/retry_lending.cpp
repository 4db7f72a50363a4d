#include "fescuedeck/gateway/retry_lending.h"

#include <algorithm>

namespace fescuedeck {

retry_lending::retry_lending(gateway_retry_budget &budget, retry_lending_hooks hooks,
                             retry_lending_settings settings)
    : m_budget(budget)
    , m_hooks(std::move(hooks))
    , m_settings(settings)
{
}

int retry_lending::lendable(const std::string &service, time_point now) const
{
    // Half stays here, because an engine may be lost whose streams run through this gateway too.
    const double unused = m_budget.ownAvailable(service, now) - m_hooks.reserved(service);
    return std::max(0, static_cast<int>(unused / 2));
}

std::map<std::string, int> retry_lending::offers(time_point now) const
{
    std::map<std::string, int> offered;
    for (const std::string &service : m_budget.services()) {
        const int count = lendable(service, now);
        if (count > 0)
            offered[service] = count;
    }
    return offered;
}

void retry_lending::recordOffers(const std::string &peer, const std::map<std::string, int> &offers,
                                 time_point until)
{
    m_offers[peer] = { offers, until };
}

retry_lending::offer *retry_lending::bestOffer(const std::string &service, time_point now,
                                               std::string &peer)
{
    offer *best = nullptr;
    int most = 0;
    for (auto it = m_offers.begin(); it != m_offers.end();) {
        if (it->second.until <= now) {
            it = m_offers.erase(it);
            continue;
        }
        const auto found = it->second.retries.find(service);
        const int count = found == it->second.retries.end() ? 0 : found->second;
        if (count > most) {
            most = count;
            best = &it->second;
            peer = it->first;
        }
        ++it;
    }
    return best;
}

bool retry_lending::borrow(const std::string &service, time_point now)
{
    const auto last = m_lastBorrowAt.find(service);
    const bool hasAsked = last != m_lastBorrowAt.end();
    if (hasAsked && now - last->second < m_settings.minInterval)
        return true;
    bool isLoanExpected = hasAsked && now - last->second < m_settings.answerTime;
    for (int i = 0; i < m_settings.requestsAtOnce; ++i) {
        std::string peer;
        offer *const best = bestOffer(service, now, peer);
        if (best == nullptr)
            break;
        int &left = best->retries[service];
        const int count = std::min(left, m_settings.loanSize);
        left -= count; // until the next digest of the peer
        m_lastBorrowAt[service] = now;
        isLoanExpected = true;
        m_hooks.send(peer, retry_request{ service, count, now.time_since_epoch().count() });
    }
    return isLoanExpected;
}

void retry_lending::onRequest(const std::string &peer, const retry_request &request, time_point now)
{
    const int count = std::min(request.count, lendable(request.service, now));
    if (count <= 0 || !m_budget.lend(request.service, count, now))
        return;
    m_hooks.send(peer, retry_loan{ request.service, count, request.requestedAt });
}

void retry_lending::onLoan(const retry_loan &loan, time_point now)
{
    const time_point requestedAt{ duration(loan.requestedAt) };
    m_budget.addLoan(loan.service, std::min(loan.count, m_settings.loanSize),
                     std::min(requestedAt, now));
}

} // namespace fescuedeck
