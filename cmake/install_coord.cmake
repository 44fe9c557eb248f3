# Installs the coordination library as the CMake package firefly_coord, with
# the targets firefly::core, firefly::coord and firefly::coord_testing.

include(CMakePackageConfigHelpers)

set(FIREFLY_CHARTS_DIR ${CMAKE_INSTALL_DATADIR}/firefly/charts)
set(FIREFLY_PACKAGE_DIR ${CMAKE_INSTALL_LIBDIR}/cmake/firefly_coord)

install(
  TARGETS firefly_core firefly_coord firefly_coord_testing
  EXPORT firefly_coordTargets
  ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR}
  COMPONENT coord)
install(
  DIRECTORY core coord
  DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/firefly
  COMPONENT coord
  FILES_MATCHING
  PATTERN "*.h")
install(
  DIRECTORY charts/
  DESTINATION ${FIREFLY_CHARTS_DIR}
  COMPONENT coord
  FILES_MATCHING
  PATTERN "*.toml")
install(
  EXPORT firefly_coordTargets
  NAMESPACE firefly::
  DESTINATION ${FIREFLY_PACKAGE_DIR}
  COMPONENT coord)

configure_package_config_file(
  cmake/firefly_coordConfig.cmake.in
  ${PROJECT_BINARY_DIR}/firefly_coordConfig.cmake
  INSTALL_DESTINATION ${FIREFLY_PACKAGE_DIR}
  PATH_VARS FIREFLY_CHARTS_DIR)
write_basic_package_version_file(
  ${PROJECT_BINARY_DIR}/firefly_coordConfigVersion.cmake
  COMPATIBILITY SameMinorVersion)
install(
  FILES ${PROJECT_BINARY_DIR}/firefly_coordConfig.cmake
        ${PROJECT_BINARY_DIR}/firefly_coordConfigVersion.cmake
  DESTINATION ${FIREFLY_PACKAGE_DIR}
  COMPONENT coord)
