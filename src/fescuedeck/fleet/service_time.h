// Learned service time of one kind of work on one endpoint: a moving mean and a moving quantile.
//
// Use it where a deadline or a cost must follow an endpoint that becomes slower or faster. Old
// samples are forgotten exponentially. Not thread-safe.
#ifndef FESCUEDECK_FLEET_SERVICE_TIME_H
#define FESCUEDECK_FLEET_SERVICE_TIME_H

namespace fescuedeck {

class service_time
{
public:
    // weight: share of a new sample in the mean; probability: of the quantile, in (0, 1).
    explicit service_time(double weight = 0.1, double probability = 0.99);

    void add(double seconds);
    void reset();

    bool isKnown() const { return m_samples > 0; }
    int samples() const { return m_samples; }
    // Seconds; 0 before the first sample.
    double mean() const { return m_mean; }
    double quantile() const { return m_quantile; }

private:
    double m_weight;
    double m_probability;
    double m_mean = 0;
    double m_quantile = 0;
    int m_samples = 0;
};

} // namespace fescuedeck

#endif
