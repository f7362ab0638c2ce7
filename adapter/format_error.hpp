// Errors in the bytes that the simulator sends.
#ifndef TULIPYOKE_ADAPTER_FORMAT_ERROR_HPP_
#define TULIPYOKE_ADAPTER_FORMAT_ERROR_HPP_

#include <cstdint>
#include <string>
#include <variant>

namespace tulipyoke::wire {

enum class FormatErrorCode {
  kHeaderTruncated,  // fewer bytes than the header of a batch has
  kBatchTooLarge,    // detail: size of the body in bytes
  kBatchTooSmall,    // detail: number of records, which do not fit in the body
  kClockOutOfRange,
  kRecordOutsideBody,  // detail: index of the record
  kFieldOutsideTail,   // detail: offset that the field refers to
  kUnknownEventCode,   // detail: the unknown value, also in the next five
  kUnknownStatus,
  kUnknownListKind,
  kUnknownListSlot,
  kUnknownServerState,
  kUnknownRole,
  kReportTooLong,  // detail: number of values
  kInvalidGroup,
  kSettingsLineInvalid,  // text: the line
  kSettingsInvalid,      // text: the setting and what is wrong with it
};

struct FormatError {
  FormatErrorCode code = FormatErrorCode::kHeaderTruncated;
  std::uint64_t detail = 0;
  std::string text;
};

// Returns one line for standard error, without a newline.
std::string ToString(const FormatError& error);

// A decoded value, or the error that was found in the input.
template <typename Value>
using Decoded = std::variant<Value, FormatError>;

}  // namespace tulipyoke::wire

#endif  // TULIPYOKE_ADAPTER_FORMAT_ERROR_HPP_
