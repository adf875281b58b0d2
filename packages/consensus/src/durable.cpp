// Encoding of the durable document: a magic word and a format number, then every field in a fixed order.
#include "consensus/durable.hpp"

#include <utility>

#include "weft/codec.hpp"

namespace consensus {

using pith::fail;
using pith::Kind;

namespace {

constexpr std::uint32_t kMagic = 0x4453434d;  // "MCSD"
constexpr std::uint32_t kFormat = 1;

void put_flag(weft::Writer* writer, bool flag) { writer->put(static_cast<std::uint8_t>(flag ? 1 : 0)); }

// False where the byte is neither 0 nor 1.
bool get_flag(weft::Reader* reader, bool* flag) {
    std::uint8_t value = 0;
    reader->get(value);
    *flag = value == 1;
    return value <= 1;
}

// Not as a vector of the codec: the number of withdrawn proposals is not bounded by weft::kMaxItems.
void put_numbers(weft::Writer* writer, const std::set<std::uint64_t>& numbers) {
    writer->put(static_cast<std::uint32_t>(numbers.size()));
    for (const std::uint64_t number : numbers) writer->put(number);
}

void get_numbers(weft::Reader* reader, std::set<std::uint64_t>* numbers) {
    std::uint32_t count = 0;
    reader->get(count);
    for (std::uint32_t i = 0; i < count && reader->ok(); ++i) {
        std::uint64_t number = 0;
        reader->get(number);
        numbers->insert(numbers->end(), number);
    }
}

void put_proposal(weft::Writer* writer, const Proposal& proposal) {
    writer->put(proposal.founder);
    writer->put(proposal.id);
    writer->put(proposal.voters);
    put_flag(writer, proposal.adopted);
}

bool get_proposal(weft::Reader* reader, Proposal* proposal) {
    reader->get(proposal->founder);
    reader->get(proposal->id);
    reader->get(proposal->voters);
    return get_flag(reader, &proposal->adopted);
}

}  // namespace

std::string encode(const DurableState& state) {
    weft::Writer writer;
    writer.put(kMagic);
    writer.put(kFormat);
    writer.put(state.disk);
    writer.put(state.promised);
    writer.put(state.accepted);
    writer.put(state.state);
    writer.put(state.text);
    writer.put(state.decided);
    put_proposal(&writer, state.founding);
    put_flag(&writer, state.founded);
    put_numbers(&writer, state.withdrawn);
    return std::move(writer.bytes());
}

pith::Result<DurableState> decode(std::string_view bytes) {
    weft::Reader reader(bytes);
    std::uint32_t magic = 0, format = 0;
    reader.get(magic);
    reader.get(format);
    if (!reader.ok() || magic != kMagic)
        return fail(Kind::disk_failed,
                    "not a control document: move the data folder away and start with an empty one");
    if (format != kFormat)
        return fail(Kind::disk_failed, "the control document has format " + std::to_string(format) +
                                           ", this version reads " + std::to_string(kFormat) +
                                           ": start the version that wrote it");
    DurableState state;
    reader.get(state.disk);
    reader.get(state.promised);
    reader.get(state.accepted);
    reader.get(state.state);
    reader.get(state.text);
    reader.get(state.decided);
    bool flags_ok = get_proposal(&reader, &state.founding);
    flags_ok = get_flag(&reader, &state.founded) && flags_ok;
    get_numbers(&reader, &state.withdrawn);
    if (!flags_ok || !reader.done())
        return fail(Kind::disk_failed,
                    "the control document is cut or harmed: move the data folder away and start with an "
                    "empty one");
    return state;
}

}  // namespace consensus
