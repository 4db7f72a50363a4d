// Predicts the number of answer tokens of a request from what the client, the configuration and
// earlier answers say.
//
// A gateway sees events, not tokens. How many tokens an event has is learned for each service: from
// the hints of clients, which are right at the median, or else from the usual answer of the
// configuration, which then stays the mean over all routes.
//
// Memory grows with the number of services and routes, about 200 bytes for each. Not thread-safe.
#ifndef FESCUEDECK_ADMISSION_ANSWER_LENGTH_H
#define FESCUEDECK_ADMISSION_ANSWER_LENGTH_H

#include <optional>
#include <string>
#include <unordered_map>

namespace fescuedeck {

struct answer_request
{
    std::string service;
    std::string route;
    std::optional<double> hint; // the client's estimate of the tokens
    double maxTokens = 0;       // as the client states
    double usualTokens = 0;     // of the service, by its configuration; greater than 0
};

class answer_length
{
public:
    // Records an answer that was received to its end.
    void record(const answer_request &request, double events);
    // Returns the expected number of tokens, at most the stated maximum. Without records it is the
    // usual answer, to which a hint adds little.
    double predict(const answer_request &request) const;
    // The same for an answer that has this many events so far and has not ended. At least the
    // prediction that is given, which predict() has returned.
    double predictGrown(const answer_request &request, double prediction, double events) const;

private:
    struct service_answers
    {
        double meanEvents = 0;
        int samples = 0;
        double tokensPerEvent = 0; // median by the hints; 0 before the first one
        int hints = 0;
    };
    struct route_answers
    {
        double mean = 0; // of the tokens
        double shortest = 0;
        double longest = 0;
        int samples = 0;
        double meanError = 0; // mean square, of predictions by the mean and by hints
        double hintError = 0;
        int hints = 0;
    };

    double tokensPerEvent(const answer_request &request) const;
    // Whether the hint can be right by the answers seen, so that it says something.
    static bool isPlausible(double hint, const route_answers &seen);
    void recordCalibration(const answer_request &request, double events);
    static void recordRoute(route_answers &seen, const answer_request &request, double tokens);

    std::unordered_map<std::string, service_answers> m_services;
    std::unordered_map<std::string, route_answers> m_routes; // by service and route
};

} // namespace fescuedeck

#endif
