#include "adapter/format_error.hpp"

namespace tulipyoke::wire {

std::string ToString(const FormatError& error) {
  const std::string detail = std::to_string(error.detail);
  switch (error.code) {
    case FormatErrorCode::kHeaderTruncated:
      return "a batch's header is incomplete";
    case FormatErrorCode::kBatchTooLarge:
      return "a batch of " + detail + " bytes is too large";
    case FormatErrorCode::kBatchTooSmall:
      return "a batch is too small for its " + detail + " records";
    case FormatErrorCode::kClockOutOfRange:
      return "the clock is out of range";
    case FormatErrorCode::kRecordOutsideBody:
      return "record " + detail + " lies outside its batch";
    case FormatErrorCode::kFieldOutsideTail:
      return "a field points outside the tail (offset " + detail + ")";
    case FormatErrorCode::kUnknownEventCode:
      return "no event has the code " + detail;
    case FormatErrorCode::kUnknownOutcome:
      return "no outcome has the number " + detail;
    case FormatErrorCode::kUnknownListKind:
      return "no endpoint list is of kind " + detail;
    case FormatErrorCode::kUnknownListSlot:
      return "no list has the number " + detail;
    case FormatErrorCode::kUnknownServerState:
      return "a list entry has the state " + detail;
    case FormatErrorCode::kUnknownRole:
      return "an attempt's role is " + detail;
    case FormatErrorCode::kReportTooLong:
      return "a load report says it has " + detail + " values";
    case FormatErrorCode::kImpossibleGroup:
      return "a request names no possible group";
    case FormatErrorCode::kSettingsLineInvalid:
      return "a settings line has no '=': " + error.text;
    case FormatErrorCode::kSettingsInvalid:
      return error.text;
  }
  return "unknown format error";
}

}  // namespace tulipyoke::wire
