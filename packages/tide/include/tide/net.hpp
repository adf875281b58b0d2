#pragma once
// The reaction network of one customer on one proxy (docs/design.md 6.1, docs/paper.md).
// Species and reactions r1..r5 and rout are the paper's; r6 is ours, with its reason in docs/paper.md.
#include <cstdint>

namespace tide {

struct Rates {
    double k1 = 1, k2 = 100, k3 = 1, k4 = 1, k5 = 0, kf = 1;
    double e0 = 1000;  // tokens; k4 * e0 is the customer's allowance
    double k6 = 0;     // r6: E + T -> ET without S as catalyst
};

struct Mass {
    double s = 0, e = 0, es = 0, et = 0, t = 0, f = 0;
    double out = 0;  // released since the last take()
};

class Net {
  public:
    explicit Net(const Rates& r);
    // e0 may change: tokens are withdrawn (never below none), or made in ET, so that more comes at k4 and not
    // at once.
    void rates(const Rates& r);
    void lend(double n) {  // some of what is out is taken as free
        n = n < m_.et ? n : m_.et;
        m_.et -= n;
        m_.e += n;
    }
    void spend() { m_.et += m_.e, m_.e = 0; }  // all passes are out, as far as is known
    bool draw() {                              // one whole pass at once, where there is one
        if (m_.e < 1) return false;
        m_.e -= 1;
        m_.et += 1;
        return true;
    }
    void forget_partners() { m_.t = 0; }
    const Rates& rates() const { return r_; }
    const Mass& mass() const { return m_; }

    void arrive(double n) { m_.s += n; }
    void sense(double n) { m_.t = m_.t + n > 0 ? m_.t + n : 0; }
    double withdraw(double n);  // takes mass back out of S; gives what could not be taken
    double take(double n);      // takes released mass, at most n
    void step(double dt);       // one fixed step, stable for any dt, all masses stay at or above none
    bool at_rest() const;
    void rest();

    // The rate that saturation would give, equation (8), at a sensed rate.
    double saturation(double v_ext) const;

  private:
    Rates r_;
    Mass m_;
    double owed_ = 0;  // tokens to withdraw as they come back, after e0 was lowered
};

}  // namespace tide
