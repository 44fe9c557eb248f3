#include "servers/platform/base64.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/dataflow_exception.hpp>
#include <boost/archive/iterators/transform_width.hpp>

namespace firefly {

namespace {

namespace iterators = boost::archive::iterators;

using Encoder = iterators::base64_from_binary<
  iterators::transform_width<std::string_view::const_iterator, 6, 8>>;
using Decoder = iterators::transform_width<
  iterators::binary_from_base64<std::string_view::const_iterator>,
  8,
  6>;

constexpr std::size_t kGroup = 4; // characters that encode three bytes
constexpr std::size_t kMaxPadding = 2;

} // namespace

std::string
EncodeBase64(std::string_view aBytes)
{
  std::string text(Encoder(aBytes.begin()), Encoder(aBytes.end()));
  while (text.size() % kGroup != 0) {
    text += '=';
  }
  return text;
}

std::optional<std::string>
DecodeBase64(std::string_view aText)
{
  if (aText.size() % kGroup != 0) {
    return std::nullopt;
  }
  std::size_t padding = 0;
  while (padding < kMaxPadding && !aText.empty() && aText.back() == '=') {
    aText.remove_suffix(1);
    ++padding;
  }
  const std::size_t size = aText.size() * 3 / kGroup;
  std::string bytes;
  bytes.reserve(size);
  try {
    Decoder it(aText.begin());
    for (std::size_t i = 0; i < size; ++i) {
      bytes += *it;
      ++it;
    }
  } catch (const iterators::dataflow_exception&) {
    return std::nullopt;
  }
  return bytes;
}

} // namespace firefly
