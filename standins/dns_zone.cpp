#include "standins/dns_zone.hpp"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace tulipyoke::standins {
namespace {

using dnssd::LdnsPtr;

constexpr std::size_t kPlainDatagramBytes = 512;
constexpr std::size_t kRecordsPerTransferMessage = 300;
constexpr std::size_t kMaxDifferences = 64;
constexpr std::size_t kHeaderBytes = 12;
// Offsets of the low bytes of record counts in the header.
constexpr std::size_t kQuestionCount = 5;
constexpr std::size_t kAnswerCount = 7;

LdnsPtr<ldns_rr> ParseRecord(const std::string& record) {
  ldns_rr* rr = nullptr;
  if (ldns_rr_new_frm_str(&rr, record.c_str(), 0, nullptr, nullptr) != LDNS_STATUS_OK) {
    throw std::runtime_error("no record: " + record);
  }
  return LdnsPtr<ldns_rr>(rr);
}

void Push(ldns_pkt* packet, ldns_pkt_section section, const std::string& record) {
  ldns_pkt_push_rr(packet, section, ParseRecord(record).release());
}

std::string LowerName(const ldns_rdf* name) {
  const LdnsPtr<ldns_rdf> copy(ldns_rdf_clone(name));
  ldns_dname2canonical(copy.get());
  return dnssd::ToPresentation(copy.get());
}

std::string TypeText(ldns_rr_type type) {
  const LdnsPtr<char> text(ldns_rr_type2str(type));
  return text.get();
}

std::string LowerText(std::string text) {
  for (char& c : text) c = c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c;
  return text;
}

std::string KeyOf(const std::string& record) {
  const LdnsPtr<ldns_rr> rr = ParseRecord(record);
  return LowerName(ldns_rr_owner(rr.get())) + " " + TypeText(ldns_rr_get_type(rr.get()));
}

std::string Serialize(ldns_pkt* packet) {
  std::uint8_t* bytes = nullptr;
  std::size_t size = 0;
  if (ldns_pkt2wire(&bytes, packet, &size) != LDNS_STATUS_OK) throw std::runtime_error("no DNS message");
  const LdnsPtr<std::uint8_t> owner(bytes);
  return std::string(reinterpret_cast<const char*>(bytes), size);
}

bool IsTransfer(const std::string& type) { return type == "AXFR" || type == "IXFR"; }

std::string TruncatedAnswer(std::uint16_t id, const ldns_rr* question) {
  const LdnsPtr<ldns_pkt> answer(ldns_pkt_new());
  ldns_pkt_set_id(answer.get(), id);
  ldns_pkt_set_qr(answer.get(), true);
  ldns_pkt_set_tc(answer.get(), true);
  ldns_pkt_push_rr(answer.get(), LDNS_SECTION_QUESTION, ldns_rr_clone(question));
  return Serialize(answer.get());
}

std::vector<std::string> TransferMessages(const ldns_pkt* query, const ldns_rr* question,
                                          const std::vector<std::string>& records) {
  std::vector<std::string> messages;
  for (std::size_t begin = 0; begin < records.size(); begin += kRecordsPerTransferMessage) {
    const LdnsPtr<ldns_pkt> message(ldns_pkt_new());
    ldns_pkt_set_id(message.get(), ldns_pkt_id(query));
    ldns_pkt_set_qr(message.get(), true);
    ldns_pkt_set_aa(message.get(), true);
    if (begin == 0) ldns_pkt_push_rr(message.get(), LDNS_SECTION_QUESTION, ldns_rr_clone(question));
    const std::size_t end = std::min(records.size(), begin + kRecordsPerTransferMessage);
    for (std::size_t i = begin; i < end; ++i) Push(message.get(), LDNS_SECTION_ANSWER, records[i]);
    messages.push_back(Serialize(message.get()));
  }
  return messages;
}

}  // namespace

DnsZone::DnsZone(const std::string& zone, const std::string& service)
    : zone_name_(LowerText(zone) + "."), service_(LowerText(service)) {}

std::string DnsZone::Soa(std::uint32_t serial) const {
  return zone_name_ + " 10 IN SOA ns." + zone_name_ + " staff." + zone_name_ + " " + std::to_string(serial) +
         " 60 60 3600 5";
}

std::vector<std::string> DnsZone::RecordsOf(const Published& server) const {
  const std::string ttl = " " + std::to_string(server.ttl) + " IN ";
  const std::string browse = service_ + "." + zone_name_;
  const std::string instance = server.label + "." + browse;
  std::string host = server.host;
  if (host.empty()) {
    host = "h" + server.address + "-" + std::to_string(server.port);
    std::replace(host.begin(), host.end(), '.', '-');
    std::replace(host.begin(), host.end(), ':', '-');
    host += "." + zone_name_;
  }
  std::string text;
  for (const std::string& item : server.text) text += " \"" + item + "\"";
  const bool v6 = server.address.find(':') != std::string::npos;
  return {browse + ttl + "PTR " + instance,
          instance + ttl + "SRV 0 0 " + std::to_string(server.port) + " " + host,
          instance + ttl + "TXT" + (text.empty() ? " \"\"" : text),
          host + ttl + (v6 ? "AAAA " : "A ") + server.address};
}

void DnsZone::Change(std::vector<std::string> deleted, std::vector<std::string> added) {
  // Two instances may share the records of a host: those are deleted with the last of them.
  std::erase_if(deleted, [&](const std::string& record) { return --owner_counts_[record] > 0; });
  for (const std::string& record : deleted) {
    owner_counts_.erase(record);
    const auto it = records_.find(KeyOf(record));
    it->second.erase(record);
    if (it->second.empty()) records_.erase(it);
  }
  std::erase_if(added, [&](const std::string& record) { return ++owner_counts_[record] > 1; });
  for (const std::string& record : added) records_[KeyOf(record)].insert(record);
  differences_.push_back({serial_, serial_ + 1, std::move(deleted), std::move(added)});
  if (differences_.size() > kMaxDifferences) differences_.pop_front();
  ++serial_;
}

void DnsZone::Publish(const std::vector<Published>& servers) {
  std::vector<std::string> deleted;
  std::vector<std::string> added;
  for (const Published& server : servers) {
    std::vector<std::string>& records = by_label_[LowerText(server.label)];
    deleted.insert(deleted.end(), records.begin(), records.end());
    records = RecordsOf(server);
    added.insert(added.end(), records.begin(), records.end());
  }
  Change(std::move(deleted), std::move(added));
}

void DnsZone::Withdraw(const std::vector<std::string>& labels) {
  std::vector<std::string> deleted;
  for (const std::string& label : labels) {
    const auto it = by_label_.find(LowerText(label));
    if (it == by_label_.end()) continue;
    deleted.insert(deleted.end(), it->second.begin(), it->second.end());
    by_label_.erase(it);
  }
  Change(std::move(deleted), {});
}

void DnsZone::WithdrawAll() {
  std::vector<std::string> labels;
  for (const auto& [label, records] : by_label_) labels.push_back(label);
  Withdraw(labels);
}

void DnsZone::Freeze(bool frozen) {
  frozen_ = frozen ? std::make_unique<Records>(records_) : nullptr;
  frozen_serial_ = serial_;
}

void DnsZone::SetSerial(std::uint32_t serial) {
  serial_ = serial;
  differences_.clear();
}

bool DnsZone::HasName(const std::string& name) const {
  const auto it = visible().lower_bound(name + " ");
  if (it != visible().end() && it->first.starts_with(name + " ")) return true;
  // A name without records exists as well where there are names below it.
  return name == zone_name_ || std::any_of(visible().begin(), visible().end(), [&](const auto& set) {
           return set.first.find("." + name + " ") != std::string::npos;
         });
}

std::vector<std::string> DnsZone::Answer(Micros now, std::string_view bytes, bool tcp) {
  ldns_pkt* raw = nullptr;
  const ldns_status status =
      ldns_wire2pkt(&raw, reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  if (status != LDNS_STATUS_OK) return {};
  const LdnsPtr<ldns_pkt> packet(raw);
  if (ldns_rr_list_rr_count(ldns_pkt_question(packet.get())) != 1) return {};
  QueryView query;
  query.packet = packet.get();
  query.question = ldns_rr_list_rr(ldns_pkt_question(packet.get()), 0);
  query.name = LowerName(ldns_rr_owner(query.question));
  query.type = TypeText(ldns_rr_get_type(query.question));
  query.tcp = tcp;
  queries_.push_back({now, query.name, query.type, tcp, visible_serial()});
  if (fault_ == DnsFault::kSilent) return {};
  if (fault_ == DnsFault::kGarbage) return {"\x01\x02\x03 no message at all, however long it goes on"};
  if (IsTransfer(query.type) && tcp && fault_ == DnsFault::kNone) return Transfer(query);
  return {AnswerQuestion(query)};
}

std::string DnsZone::AnswerQuestion(const QueryView& query) const {
  const LdnsPtr<ldns_pkt> answer(ldns_pkt_new());
  const bool wrong_id = fault_ == DnsFault::kWrongId;
  const auto id = static_cast<std::uint16_t>(ldns_pkt_id(query.packet) + (wrong_id ? 1 : 0));
  ldns_pkt_set_id(answer.get(), id);
  ldns_pkt_set_qr(answer.get(), true);
  ldns_pkt_set_aa(answer.get(), fault_ != DnsFault::kNoAuthority);
  ldns_rr* echoed = ldns_rr_clone(query.question);
  if (fault_ == DnsFault::kWrongQuestion) ldns_rr_set_type(echoed, LDNS_RR_TYPE_HINFO);
  ldns_pkt_push_rr(answer.get(), LDNS_SECTION_QUESTION, echoed);
  const bool refuses = fault_ == DnsFault::kRefused || IsTransfer(query.type);
  const bool fails = fault_ == DnsFault::kServFail || refuses;
  if (fails) ldns_pkt_set_rcode(answer.get(), refuses ? LDNS_RCODE_REFUSED : LDNS_RCODE_SERVFAIL);
  if (fault_ == DnsFault::kNoAuthority && query.type != "SOA") return Serialize(answer.get());
  if (!fails) AddSections(answer.get(), query);
  std::string bytes = Serialize(answer.get());
  const std::size_t offered = ldns_pkt_edns(query.packet) ? ldns_pkt_edns_udp_size(query.packet) : 0;
  const bool too_large = !query.tcp && bytes.size() > std::max(kPlainDatagramBytes, offered);
  if (too_large || fault_ == DnsFault::kAlwaysTruncated) bytes = TruncatedAnswer(id, query.question);
  return Corrupt(std::move(bytes));
}

void DnsZone::AddSections(ldns_pkt* answer, const QueryView& query) const {
  if (query.type == "SOA" && query.name == zone_name_) {
    Push(answer, LDNS_SECTION_ANSWER, Soa(visible_serial()));
    return;
  }
  const auto set = visible().find(query.name + " " + query.type);
  if (set == visible().end()) {
    if (!HasName(query.name)) ldns_pkt_set_rcode(answer, LDNS_RCODE_NXDOMAIN);
    Push(answer, LDNS_SECTION_AUTHORITY, Soa(visible_serial()));
    return;
  }
  for (const std::string& record : set->second) Push(answer, LDNS_SECTION_ANSWER, record);
  if (!additional_ || query.type != "PTR") return;
  for (const auto& [label, records] : by_label_) {
    // All but the PTR record, which is the first.
    for (std::size_t i = 1; i < records.size(); ++i) Push(answer, LDNS_SECTION_ADDITIONAL, records[i]);
  }
}

std::string DnsZone::Corrupt(std::string bytes) const {
  if (fault_ == DnsFault::kLyingCount) bytes[kAnswerCount] = '\x7f';
  if (fault_ == DnsFault::kLoop) {
    // One answer, whose owner name is a pointer to itself.
    bytes.resize(kHeaderBytes);
    bytes[kQuestionCount] = 0;
    bytes[kAnswerCount] = 1;
    bytes += std::string("\xc0\x0c\x00\x0c\x00\x01\x00\x00\x00\x05\x00\x02\xc0\x0c", 14);
  }
  return bytes;
}

std::optional<std::vector<std::string>> DnsZone::DifferencesSince(std::uint32_t serial) const {
  std::vector<std::string> records;
  const auto from = std::find_if(differences_.begin(), differences_.end(),
                                 [&](const Difference& difference) { return difference.from == serial; });
  if (serial != visible_serial() && from == differences_.end()) return std::nullopt;
  for (auto it = from; it != differences_.end(); ++it) {
    records.push_back(Soa(it->from));
    records.insert(records.end(), it->deleted.begin(), it->deleted.end());
    records.push_back(Soa(it->to));
    records.insert(records.end(), it->added.begin(), it->added.end());
  }
  return records;
}

std::vector<std::string> DnsZone::Transfer(const QueryView& query) const {
  std::optional<std::vector<std::string>> body = std::vector<std::string>();
  bool complete = query.type == "AXFR";
  if (!complete && ldns_rr_list_rr_count(ldns_pkt_authority(query.packet)) == 1) {
    ldns_rr* soa = ldns_rr_list_rr(ldns_pkt_authority(query.packet), 0);
    body = DifferencesSince(ldns_rdf2native_int32(ldns_rr_rdf(soa, 2)));
    complete = !body;
  }
  if (complete) {
    body.emplace();
    for (const auto& [key, set] : visible()) body->insert(body->end(), set.begin(), set.end());
  }
  std::vector<std::string> records{Soa(visible_serial())};
  records.insert(records.end(), body->begin(), body->end());
  // Without changes, a lone SOA says that the copy is up to date (RFC 1995, 2).
  if (!body->empty() || complete) records.push_back(Soa(visible_serial()));
  return TransferMessages(query.packet, query.question, records);
}

}  // namespace tulipyoke::standins
