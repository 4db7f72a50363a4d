// Estimates the service time of one kind of work on one endpoint: a moving mean and a moving
// quantile.
//
// Use it where a timeout or a cost must adapt to an endpoint that becomes slower or faster. The
// influence of old samples decays exponentially. The class is not thread-safe.
#ifndef FESCUEDECK_FLEET_SERVICE_TIME_H
#define FESCUEDECK_FLEET_SERVICE_TIME_H

namespace fescuedeck {

class service_time
{
public:
    // weight is the share of a new sample in the moving mean, in (0, 1]. probability selects the
    // quantile, in (0, 1): 0.99 estimates the time that 99% of the samples do not exceed.
    explicit service_time(double weight = 0.1, double probability = 0.99);

    void add(double seconds);
    void reset();

    // Returns true once there is at least one sample.
    bool isKnown() const { return m_samples > 0; }
    int samples() const { return m_samples; }
    // Both estimates are in seconds and 0 before the first sample.
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
