use {
    super::State,
    crate::wire::peer::{StateAnswer, StateRequest},
    bytes::Bytes,
};

/// Most bytes of one part of the state. A connection with a hundredth of a full link of 3.8 Mbit/s carries it within the
/// 6 s for which a daemon waits.
const STATE_PART_BYTES: usize = 24 * 1024;
/// Images that are kept, so that those who have begun one can end it.
const IMAGES_MAX: usize = 2;
/// Changes after an image up to which those who begin get it. The changes come in one answer to a watch.
const CHANGES_MAX: u64 = 400;

/// The images that daemons read in parts, with their indexes, ascending.
#[derive(Default)]
pub(super) struct StateParts {
    images: Vec<(u64, Bytes)>,
}

impl StateParts {
    /// Returns the part that is asked for. Who begins gets the latest image if all changes after it can be told, which
    /// are those from `history` on, or else a new one. So does who asks for an image that is no longer kept.
    pub fn part(&mut self, state: &State, history: u64, req: &StateRequest) -> StateAnswer {
        let position = match self.images.binary_search_by_key(&req.image, |(index, _)| *index) {
            Ok(position) => position,
            Err(_) => self.latest(state, (history - 1).max(req.newer_than + 1)),
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

    /// Forgets all images, since the state was replaced.
    pub fn restart(&mut self) {
        self.images.clear();
    }

    /// Returns the position of an image that one can begin with: not below the index `least`, if the state is not.
    fn latest(&mut self, state: &State, least: u64) -> usize {
        let applied = state.applied();
        let is_usable = |index: u64| index + CHANGES_MAX >= applied && index >= least;
        if !self.images.last().is_some_and(|(index, _)| is_usable(*index)) {
            self.images.push((applied, state.to_image().into()));
        }
        if self.images.len() > IMAGES_MAX {
            self.images.remove(0);
        }
        self.images.len() - 1
    }
}
