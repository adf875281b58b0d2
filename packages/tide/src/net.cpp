#include "tide/net.hpp"

#include <algorithm>
#include <cmath>

namespace tide {

namespace {
constexpr double kTiny = 1e-6;
// How much of `have` goes in dt where it is used at `rate` now: never more than there is.
double used(double have, double rate, double dt) {
    if (have <= 0 || rate <= 0) return 0;
    return have * -std::expm1(-rate / have * dt);
}
}  // namespace

Net::Net(const Rates& r) : r_(r) { m_.e = r.e0; }

void Net::rates(const Rates& r) {
    double d = r.e0 - r_.e0;
    r_ = r;
    if (d >= 0) {
        const double back = std::min(owed_, d);
        owed_ -= back;
        m_.et += d - back;
    } else {
        const double now = std::min(m_.e, -d);
        m_.e -= now;
        owed_ += -d - now;
    }
}

double Net::withdraw(double n) {
    const double x = std::min(n, m_.s);
    m_.s -= x;
    return n - x;
}

double Net::take(double n) {
    const double x = std::min(n, m_.out);
    m_.out -= x;
    return x;
}

void Net::step(double dt) {
    // Those that use E compete for it in one go: r1, r3, r6 (docs/design.md 6.2).
    const double a1 = r_.k1 * m_.s * m_.e;
    const double a3 = r_.k3 * m_.s * m_.e * m_.t;
    const double a6 = r_.k6 * m_.e * m_.t;
    const double a = a1 + a3 + a6;
    double x1 = 0, x36 = 0;
    if (a > 0) {
        const double e = used(m_.e, a, dt);
        x1 = std::min(m_.s, e * a1 / a);
        x36 = std::min(m_.t, e * (a3 + a6) / a);
    }
    const double x2 = used(m_.es, r_.k2 * m_.es, dt);
    const double x4 = used(m_.et, r_.k4 * m_.et, dt);
    const double x5 = used(m_.t - x36, r_.k5 * (m_.t - x36), dt);
    const double xo = used(m_.f, r_.kf * m_.f, dt);
    m_.s -= x1;
    m_.es += x1 - x2;
    double back = x4;
    if (owed_ > 0) {
        const double o = std::min(owed_, back);
        owed_ -= o;
        back -= o;
    }
    m_.e += back - x1 - x36;
    m_.et += x36 + x2 - x4;
    m_.t -= x36 + x5;
    m_.f += x2 - xo;
    m_.out += xo;
}

bool Net::at_rest() const {
    return m_.s < kTiny && m_.es < kTiny && m_.f < 1e-4 && m_.t < 1e-3 && m_.et < 1e-3 * r_.e0 && owed_ <= 0;
}

void Net::rest() {
    const double out = m_.out + m_.f + m_.es;  // what is left leaves: mass is not lost
    m_ = Mass{};
    m_.e = r_.e0;
    m_.out = out;
}

double Net::saturation(double v_ext) const {
    return std::max(0.0, (r_.k4 * r_.e0 - v_ext) / (1 + r_.k4 / r_.k2));
}

}  // namespace tide
