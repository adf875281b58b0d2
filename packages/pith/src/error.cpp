#include "pith/error.hpp"

namespace pith {

const char* kind_text(Kind k) {
    switch (k) {
#define X(a, b, c, d) \
    case Kind::a:     \
        return b;
        PITH_KINDS(X)
#undef X
    }
    return "unknown";
}

int kind_status(Kind k) {
    switch (k) {
#define X(a, b, c, d) \
    case Kind::a:     \
        return c;
        PITH_KINDS(X)
#undef X
    }
    return 500;
}

bool kind_returns(Kind k) {
    switch (k) {
#define X(a, b, c, d) \
    case Kind::a:     \
        return d;
        PITH_KINDS(X)
#undef X
    }
    return false;
}

}  // namespace pith
