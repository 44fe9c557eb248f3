#pragma once

// What the process may use of its machine.

#include <cstddef>

namespace firefly {

// The smallest of the machine's memory and the process's limits on its address
// space and its data.
std::size_t
AvailableMemoryBytes();

// The limit on the process's open descriptors.
std::size_t
DescriptorLimit();

// Returns memory that large blocks occupy to the system as soon as they are
// freed. Otherwise the allocator raises its threshold for such blocks and keeps
// the memory, so that what the process occupies exceeds what it holds.
void
ReturnFreedBlocks();

} // namespace firefly
