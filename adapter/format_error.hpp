// What can be wrong with the bytes that the simulator sends.
#ifndef TULIPYOKE_ADAPTER_FORMAT_ERROR_HPP_
#define TULIPYOKE_ADAPTER_FORMAT_ERROR_HPP_

#include <cstdint>
#include <string>
#include <variant>

namespace tulipyoke::wire {

enum class FormatErrorCode {
  kHeaderTruncated,  // fewer bytes than a batch's header has
  kBatchTooLarge,    // detail: bytes of the body
  kBatchTooSmall,    // detail: event records that do not fit in the body
  kClockOutOfRange,
  kRecordOutsideBody,  // detail: index of the record
  kFieldOutsideTail,   // detail: offset that the field names
  kUnknownEventCode,   // detail: the code; so below
  kUnknownOutcome,
  kUnknownListKind,
  kUnknownListSlot,
  kUnknownServerState,
  kUnknownRole,
  kReportTooLong,  // detail: number of values
  kImpossibleGroup,
  kSettingsLineInvalid,  // text: the line
  kSettingsInvalid,      // text: what is wrong with which setting
};

struct FormatError {
  FormatErrorCode code = FormatErrorCode::kHeaderTruncated;
  std::uint64_t detail = 0;
  std::string text;
};

// One line without a newline, for the error output.
std::string ToString(const FormatError& error);

// A decoded value, or why there is none.
template <typename Value>
using Decoded = std::variant<Value, FormatError>;

}  // namespace tulipyoke::wire

#endif  // TULIPYOKE_ADAPTER_FORMAT_ERROR_HPP_
