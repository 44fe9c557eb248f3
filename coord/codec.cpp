#include "coord/codec.h"

#include <exception>
#include <type_traits>
#include <utility>

#include <msgpack.hpp>

namespace firefly::coord {

namespace {

// The chunk size of the zone for unpacking. Plain fields need little memory.
constexpr std::size_t kZoneBytes = 64;

} // namespace

struct FieldWriter::Impl
{
  msgpack::sbuffer buf;
  msgpack::packer<msgpack::sbuffer> packer{ buf };
};

FieldWriter::FieldWriter()
  : mImpl(std::make_unique<Impl>())
{
}

FieldWriter::~FieldWriter() = default;

FieldWriter&
FieldWriter::Number(std::uint64_t aValue)
{
  mImpl->packer.pack_uint64(aValue);
  return *this;
}

FieldWriter&
FieldWriter::Signed(std::int64_t aValue)
{
  mImpl->packer.pack_int64(aValue);
  return *this;
}

FieldWriter&
FieldWriter::Flag(bool aValue)
{
  mImpl->packer.pack(aValue);
  return *this;
}

FieldWriter&
FieldWriter::Text(std::string_view aValue)
{
  const auto size = static_cast<std::uint32_t>(aValue.size());
  mImpl->packer.pack_bin(size);
  mImpl->packer.pack_bin_body(aValue.data(), size);
  return *this;
}

std::string
FieldWriter::Take()
{
  std::string bytes(mImpl->buf.data(), mImpl->buf.size());
  mImpl->buf.clear();
  return bytes;
}

FieldReader::FieldReader(std::string_view aBytes)
  : mBytes(aBytes)
{
}

template<typename T>
T
FieldReader::Next()
{
  if (!mOk) {
    return T{};
  }
  try {
    msgpack::zone zone(kZoneBytes);
    const auto object =
      msgpack::unpack(zone,
                      mBytes.data(),
                      mBytes.size(),
                      mOffset,
                      [](auto, std::size_t, void*) { return true; });
    return object.template as<T>();
  } catch (const std::exception&) {
    mOk = false;
    return T{};
  }
}

std::uint64_t
FieldReader::Number()
{
  return Next<std::uint64_t>();
}

std::int64_t
FieldReader::Signed()
{
  return Next<std::int64_t>();
}

bool
FieldReader::Flag()
{
  return Next<bool>();
}

std::string
FieldReader::Text()
{
  return Next<std::string>();
}

} // namespace firefly::coord
