// Lends unused retries between gateways.
//
// Each gateway has its own part of the retries that the deployment may make. When an engine is
// lost, the gateways whose streams ran through it need many retries at once, while others need
// none. A gateway that runs short asks peers that have offered retries in their digests. A lender
// counts what it gives as used by itself, and a loan expires by the time of its request, so that
// the gateways together never exceed the limit, however old the offers are and whichever message is
// lost or late.
#ifndef FESCUEDECK_GATEWAY_RETRY_LENDING_H
#define FESCUEDECK_GATEWAY_RETRY_LENDING_H

#include <functional>
#include <map>
#include <string>

#include "fescuedeck/base/time.h"
#include "fescuedeck/gateway/gateway_retry_budget.h"
#include "fescuedeck/peer/peer_message.h"

namespace fescuedeck {

struct retry_lending_settings
{
    int loanSize = 4;       // retries that one request to a peer asks for
    int requestsAtOnce = 3; // to the peers with the greatest offers
    duration minInterval = std::chrono::milliseconds(30); // between requests for one service
    // A loan takes one round trip, which is longer at a gateway under load.
    duration answerTime = std::chrono::milliseconds(100);
};

struct retry_lending_hooks
{
    std::function<void(const std::string &peer, const peer_message &message)> send;
    // Number of own retries of the service that are reserved and must not be lent.
    std::function<int(const std::string &service)> reserved;
};

// Not thread-safe. The budget must outlive this object.
class retry_lending
{
public:
    retry_lending(gateway_retry_budget &budget, retry_lending_hooks hooks,
                  retry_lending_settings settings = {});

    // Returns the retries that this gateway would lend now, by service, for its digest. Contains
    // only services of which the gateway has counted requests.
    std::map<std::string, int> offers(time_point now) const;
    // Records what a peer offers until the given time, in place of what it offered before.
    void recordOffers(const std::string &peer, const std::map<std::string, int> &offers,
                      time_point until);
    // Asks the peers with the greatest offers for retries of the service, but not within
    // minInterval after it has last asked. Returns whether a loan may arrive: false if no peer
    // offers any and the last request for the service is at least answerTime old.
    bool borrow(const std::string &service, time_point now);

    // Handle the messages of peers.
    void onRequest(const std::string &peer, const retry_request &request, time_point now);
    void onLoan(const retry_loan &loan, time_point now);

private:
    struct offer
    {
        std::map<std::string, int> retries; // by service
        time_point until{};
    };

    int lendable(const std::string &service, time_point now) const;
    offer *bestOffer(const std::string &service, time_point now, std::string &peer);

    gateway_retry_budget &m_budget;
    const retry_lending_hooks m_hooks;
    const retry_lending_settings m_settings;
    std::map<std::string, offer> m_offers;            // by peer
    std::map<std::string, time_point> m_lastBorrowAt; // by service
};

} // namespace fescuedeck

#endif
