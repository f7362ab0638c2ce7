#include "src/dnssd/message.hpp"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "src/dnssd/ldns_handles.hpp"

namespace tulipyoke::dnssd {
namespace {

constexpr std::size_t kHeaderBytes = 12;
constexpr std::uint32_t kMaxTtl = 0x7fffffff;  // seconds
constexpr unsigned kPointerFlag = 0xc0;        // in the first byte of a compression pointer

// Converts `data` to its canonical form in place: it belongs to a packet that is parsed once.
DomainName NameOf(ldns_rdf* data) {
  ldns_dname2canonical(data);
  return ToPresentation(data);
}

RecordType RecordTypeOf(ldns_rr_type type) {
  switch (type) {
    case LDNS_RR_TYPE_A:
      return RecordType::kA;
    case LDNS_RR_TYPE_AAAA:
      return RecordType::kAaaa;
    case LDNS_RR_TYPE_SOA:
      return RecordType::kSoa;
    case LDNS_RR_TYPE_PTR:
      return RecordType::kPtr;
    case LDNS_RR_TYPE_TXT:
      return RecordType::kTxt;
    case LDNS_RR_TYPE_SRV:
      return RecordType::kSrv;
    case LDNS_RR_TYPE_IXFR:
      return RecordType::kIxfr;
    case LDNS_RR_TYPE_AXFR:
      return RecordType::kAxfr;
    default:
      return RecordType::kOther;
  }
}

std::string BytesOf(const ldns_rdf* data, std::size_t skip) {
  const std::size_t size = ldns_rdf_size(data);
  if (size < skip) return {};
  return std::string(reinterpret_cast<const char*>(ldns_rdf_data(data)) + skip, size - skip);
}

PtrData ParsePtr(ldns_rdf* target) {
  PtrData data;
  if (const LdnsPtr<ldns_rdf> label(ldns_dname_label(target, 0)); label) {
    // A name of one label in wire format: its length, its bytes and the root.
    const std::string bytes = BytesOf(label.get(), 1);
    data.label = bytes.substr(0, bytes.empty() ? 0 : bytes.size() - 1);
  }
  data.target = NameOf(target);
  if (const LdnsPtr<ldns_rdf> parent(ldns_dname_left_chop(target)); parent)
    data.parent = NameOf(parent.get());
  return data;
}

// Parses the data of `rr` into `record`. False: it has not the fields of its type.
bool ParseData(ldns_rr* rr, Record& record) {
  const std::size_t fields = ldns_rr_rd_count(rr);
  const auto field = [&](std::size_t i) { return ldns_rr_rdf(rr, i); };
  switch (record.type) {
    case RecordType::kPtr:
      if (fields != 1) return false;
      record.data = ParsePtr(field(0));
      return true;
    case RecordType::kSrv:
      if (fields != 4) return false;
      record.data = SrvData{ldns_rdf2native_int16(field(0)), ldns_rdf2native_int16(field(1)),
                            ldns_rdf2native_int16(field(2)), NameOf(field(3))};
      return true;
    case RecordType::kTxt: {
      TxtData text;
      for (std::size_t i = 0; i < fields; ++i) text.strings.push_back(BytesOf(field(i), 1));
      record.data = std::move(text);
      return true;
    }
    case RecordType::kA:
    case RecordType::kAaaa:
      if (fields != 1) return false;
      record.data = AddressData{ToPresentation(field(0))};
      return true;
    case RecordType::kSoa:
      if (fields != 7) return false;
      record.data =
          SoaData{ldns_rdf2native_int32(field(2)), std::min(record.ttl, ldns_rdf2native_int32(field(6)))};
      return true;
    default:
      return true;
  }
}

// Parses one section of a message. False: a record is malformed.
bool ParseSection(const ldns_rr_list* list, std::vector<Record>& records) {
  const std::size_t count = ldns_rr_list_rr_count(list);
  records.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    ldns_rr* rr = ldns_rr_list_rr(list, i);
    Record record;
    record.type =
        ldns_rr_get_class(rr) == LDNS_RR_CLASS_IN ? RecordTypeOf(ldns_rr_get_type(rr)) : RecordType::kOther;
    // RFC 2181, 8: a TTL with its highest bit set counts as 0.
    record.ttl = ldns_rr_ttl(rr) > kMaxTtl ? 0 : ldns_rr_ttl(rr);
    record.name = NameOf(ldns_rr_owner(rr));
    if (!ParseData(rr, record)) return false;
    records.push_back(std::move(record));
  }
  return true;
}

// ldns follows chains of compression pointers of any length; a message made of such chains would block the
// event loop for seconds. In a chain, the target of each pointer is a pointer itself, so the length of the
// chains summed over all positions bounds the work of parsing. Real messages have hardly any.
bool CompressionIsBounded(std::string_view bytes) {
  const auto at = [&](std::size_t i) { return static_cast<unsigned char>(bytes[i]); };
  std::size_t hops = 0;
  for (std::size_t i = kHeaderBytes; i + 1 < bytes.size(); ++i) {
    std::size_t here = i;
    for (int depth = 0; (at(here) & kPointerFlag) == kPointerFlag; ++depth) {
      if (depth > 0 && ++hops > kMaxCompressionHops) return false;
      here = (static_cast<std::size_t>(at(here) & ~kPointerFlag) << 8) | at(here + 1);
      if (here + 1 >= bytes.size()) break;
    }
  }
  return true;
}

}  // namespace

const char* ToText(RecordType type) {
  switch (type) {
    case RecordType::kA:
      return "A";
    case RecordType::kSoa:
      return "SOA";
    case RecordType::kPtr:
      return "PTR";
    case RecordType::kTxt:
      return "TXT";
    case RecordType::kAaaa:
      return "AAAA";
    case RecordType::kSrv:
      return "SRV";
    case RecordType::kIxfr:
      return "IXFR";
    case RecordType::kAxfr:
      return "AXFR";
    case RecordType::kOther:
      break;
  }
  return "other";
}

DomainName CanonicalName(std::string_view text) {
  if (text.empty() || text.find('\0') != std::string_view::npos) return {};
  const LdnsPtr<ldns_rdf> name(ldns_dname_new_frm_str(std::string(text).c_str()));
  return name ? NameOf(name.get()) : DomainName();
}

bool IsValidName(std::string_view text) { return !CanonicalName(text).empty(); }

std::string EncodeQuery(std::uint16_t id, const Question& question, std::optional<std::uint32_t> serial) {
  ldns_rdf* name = ldns_dname_new_frm_str(question.name.c_str());
  if (!name) throw std::invalid_argument("no DNS name: " + question.name);
  const LdnsPtr<ldns_pkt> packet(
      ldns_pkt_query_new(name, static_cast<ldns_rr_type>(question.type), LDNS_RR_CLASS_IN, LDNS_RD));
  if (!packet) throw std::invalid_argument("no DNS question: " + question.name);
  ldns_pkt_set_id(packet.get(), id);
  if (question.type == RecordType::kIxfr) {
    const std::string soa =
        question.name + " 0 IN SOA . . " + std::to_string(serial.value_or(0)) + " 0 0 0 0";
    ldns_rr* held = nullptr;
    if (ldns_rr_new_frm_str(&held, soa.c_str(), 0, nullptr, nullptr) != LDNS_STATUS_OK) {
      throw std::invalid_argument("no zone's name: " + question.name);
    }
    ldns_pkt_push_rr(packet.get(), LDNS_SECTION_AUTHORITY, held);
  } else if (question.type != RecordType::kAxfr) {
    ldns_pkt_set_edns_udp_size(packet.get(), kUdpPayloadBytes);
  }
  std::uint8_t* bytes = nullptr;
  std::size_t size = 0;
  if (ldns_pkt2wire(&bytes, packet.get(), &size) != LDNS_STATUS_OK) {
    throw std::invalid_argument("no DNS question: " + question.name);
  }
  const LdnsPtr<std::uint8_t> owner(bytes);
  return std::string(reinterpret_cast<const char*>(bytes), size);
}

std::optional<Message> ParseMessage(std::string_view bytes) {
  if (bytes.size() < kHeaderBytes || !CompressionIsBounded(bytes)) return std::nullopt;
  ldns_pkt* raw = nullptr;
  const ldns_status status =
      ldns_wire2pkt(&raw, reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  const LdnsPtr<ldns_pkt> packet(status == LDNS_STATUS_OK ? raw : nullptr);
  if (!packet || ldns_pkt_get_opcode(packet.get()) != LDNS_PACKET_QUERY) return std::nullopt;
  Message message;
  message.id = ldns_pkt_id(packet.get());
  message.response = ldns_pkt_qr(packet.get());
  message.truncated = ldns_pkt_tc(packet.get());
  message.authoritative = ldns_pkt_aa(packet.get());
  message.rcode = ldns_pkt_get_rcode(packet.get());
  const ldns_rr_list* questions = ldns_pkt_question(packet.get());
  if (ldns_rr_list_rr_count(questions) == 1) {
    ldns_rr* asked = ldns_rr_list_rr(questions, 0);
    if (ldns_rr_get_class(asked) == LDNS_RR_CLASS_IN) {
      message.question = Question{NameOf(ldns_rr_owner(asked)), RecordTypeOf(ldns_rr_get_type(asked))};
    }
  }
  const bool complete = ParseSection(ldns_pkt_answer(packet.get()), message.answers) &&
                        ParseSection(ldns_pkt_authority(packet.get()), message.authority) &&
                        ParseSection(ldns_pkt_additional(packet.get()), message.additional);
  if (!complete) return std::nullopt;
  return message;
}

bool SerialBefore(std::uint32_t left, std::uint32_t right) {
  constexpr std::uint32_t kHalfTheSpace = 0x80000000u;
  const std::uint32_t distance = right - left;
  return distance != 0 && distance < kHalfTheSpace;
}

std::optional<std::uint32_t> SoaSerial(const Record& record) {
  const auto* soa = std::get_if<SoaData>(&record.data);
  if (!soa) return std::nullopt;
  return soa->serial;
}

}  // namespace tulipyoke::dnssd
