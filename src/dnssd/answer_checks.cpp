#include "src/dnssd/answer_checks.hpp"

#include <algorithm>
#include <iterator>

namespace tulipyoke::dnssd {

std::vector<Record> MatchingRecords(const std::vector<Record>& records, const Question& question) {
  std::vector<Record> matching;
  std::copy_if(records.begin(), records.end(), std::back_inserter(matching), [&](const Record& record) {
    return record.type == question.type && record.name == question.name;
  });
  return matching;
}

std::optional<std::uint32_t> FindSerial(const std::vector<Record>& records, const DomainName& zone) {
  for (const Record& record : records) {
    const std::optional<std::uint32_t> serial = SoaSerial(record);
    if (serial && record.name == zone) return serial;
  }
  return std::nullopt;
}

bool IsAuthoritativeFor(const Message& message, const DomainName& name) {
  if (message.authoritative) return true;
  return std::any_of(message.authority.begin(), message.authority.end(), [&](const Record& record) {
    return record.type == RecordType::kSoa && (name == record.name || name.ends_with("." + record.name));
  });
}

}  // namespace tulipyoke::dnssd
