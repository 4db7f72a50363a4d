// Client of the weight store, which limits the rate of its answers.
#ifndef FESCUEDECK_CLIENTS_WEIGHT_STORE_CLIENT_H
#define FESCUEDECK_CLIENTS_WEIGHT_STORE_CLIENT_H

#include <string>

#include <boost/asio/spawn.hpp>

#include "fescuedeck/base/error.h"
#include "fescuedeck/base/layer_range.h"
#include "fescuedeck/base/time.h"
#include "fescuedeck/net/http_client.h"

namespace fescuedeck {

struct weight_answer
{
    bool isRateLimited = false;
    duration retryAfter{}; // when rate-limited
    std::string weights;
};

// Value of a Retry-After header in seconds; fallback if it is absent or not a number from 0 to one
// day.
duration retryAfter(const http_response &response, duration fallback);

// Thread-safe.
class weight_store_client
{
public:
    // The client must outlive this object; address is ip:port. The client's response limit must
    // allow for the weights of a layer range.
    weight_store_client(http_client &client, std::string address);

    // NotFound if the store lacks the weights, NotReady for any other unexpected status.
    result<weight_answer> fetch(const std::string &model, const std::string &version,
                                const layer_range &layers, duration timeout,
                                boost::asio::yield_context yield);

private:
    http_client &m_client;
    const std::string m_address;
};

} // namespace fescuedeck

#endif
