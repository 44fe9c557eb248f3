#include "coord/codec.h"

#include <exception>
#include <type_traits>
#include <utility>

#include <msgpack.hpp>

namespace firefly::coord {

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
    const auto handle = msgpack::unpack(mBytes.data(), mBytes.size(), mOffset);
    return handle.get().as<T>();
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
