use {
    super::State,
    crate::wire::peer::{StateAnswer, StateRequest},
    bytes::Bytes,
};

/// Size limit of one part of the state. A connection with a hundredth of a saturated link of 3.8 Mbit/s carries
/// that much within the 6 s for which a daemon waits.
const STATE_PART_BYTES: usize = 24 * 1024;
/// Number of images that are kept, so that daemons can finish reading an image after a newer one was made.
const IMAGES_MAX: usize = 2;
/// Limit on the changes between an image and the present state, for daemons that start to read the image. One answer
/// to a watch carries that many.
const CHANGES_AFTER_IMAGE_MAX: u64 = 400;

/// The images of the state that daemons read in parts.
#[derive(Default)]
pub(super) struct StateParts {
    /// Images with their log indexes, ascending.
    images: Vec<(u64, Bytes)>,
}

impl StateParts {
    /// Returns the requested part of an image.
    ///
    /// A daemon that starts to read, or whose image is no longer kept, gets the first part of the latest image if the
    /// history still has all changes after it, and otherwise the first part of a new image. `oldest_change` is the log
    /// index of the first change in the history.
    pub fn part(&mut self, state: &State, oldest_change: u64, req: &StateRequest) -> StateAnswer {
        let position = match self.images.binary_search_by_key(&req.image, |(index, _)| *index) {
            Ok(position) => position,
            Err(_) => self.latest_image(state, (oldest_change - 1).max(req.newer_than + 1)),
        };
        let (image, bytes) = &self.images[position];
        let offset = if *image == req.image {
            (req.offset as usize).min(bytes.len())
        } else {
            0
        };
        let end = (offset + STATE_PART_BYTES).min(bytes.len());
        StateAnswer {
            image: *image,
            offset: offset as u64,
            total: bytes.len() as u64,
            part: bytes.slice(offset..end),
            declined: false,
        }
    }

    /// Drops all images, since the state was replaced.
    pub fn clear(&mut self) {
        self.images.clear();
    }

    /// Returns the position of the image for daemons that start to read. Its log index is at least `min_index` if the
    /// state has reached that index.
    fn latest_image(&mut self, state: &State, min_index: u64) -> usize {
        let applied = state.applied();
        let is_usable = |index: u64| index + CHANGES_AFTER_IMAGE_MAX >= applied && index >= min_index;
        if !self.images.last().is_some_and(|(index, _)| is_usable(*index)) {
            self.images.push((applied, state.to_image().into()));
        }
        if self.images.len() > IMAGES_MAX {
            self.images.remove(0);
        }
        self.images.len() - 1
    }
}
