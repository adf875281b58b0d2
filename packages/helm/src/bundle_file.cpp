#include "bundle_file.hpp"

#include "pith/settings.hpp"

namespace helm {

pith::Result<std::string> read_bundle_file(const Arguments& arguments) {
    if (arguments.empty()) return pith::fail(pith::Kind::settings_wrong, "give the bundle's file");
    return pith::read_file(arguments[0], creed::kMaxBundle);
}

pith::Result<creed::Bundle> parse_bundle(const std::string& text) {
    auto as_signed = creed::read_told(text);
    if (as_signed) return as_signed;
    auto as_unsigned = creed::read_bundle(text);
    const bool looks_signed = text.find("\"signature\"") != std::string::npos;
    return as_unsigned || !looks_signed ? as_unsigned : as_signed;
}

}  // namespace helm
